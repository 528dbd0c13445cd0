package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const settingsText = `node: host-1
zone: domain-1
listen: {front: "127.0.0.1:8080", ready: "127.0.0.1:8081"}
platform: {address: "127.0.0.1:8082"}
port-range: [9000, 9010]
`

func TestSettingsFile(t *testing.T) {
	for name, tc := range map[string]struct {
		change  func(*WithT, string)
		changed bool
	}{
		"an untouched file": {func(*WithT, string) {}, false},
		"written again later": {func(gm *WithT, path string) {
			gm.Expect(os.Chtimes(path, time.Time{}, time.Now().Add(time.Second))).To(Succeed())
		}, true},
		"another file in its place": {func(gm *WithT, path string) {
			info, err := os.Stat(path)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(os.WriteFile(path+".new", []byte(settingsText+"# longer\n"), 0o600)).To(Succeed())
			gm.Expect(os.Chtimes(path+".new", time.Time{}, info.ModTime())).To(Succeed())
			gm.Expect(os.Rename(path+".new", path)).To(Succeed())
		}, true},
		"gone": {func(gm *WithT, path string) { gm.Expect(os.Remove(path)).To(Succeed()) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			sf := settingsFile{path: filepath.Join(t.TempDir(), "settings.yaml")}
			gm.Expect(os.WriteFile(sf.path, []byte(settingsText), 0o600)).To(Succeed())
			_, err := sf.load()
			gm.Expect(err).NotTo(HaveOccurred())
			tc.change(gm, sf.path)
			gm.Expect(sf.changed()).To(Equal(tc.changed))
			_, _ = sf.load()
			gm.Expect(sf.changed()).To(BeFalse(), "a file that was read, or found missing, is not read again")
		})
	}
}
