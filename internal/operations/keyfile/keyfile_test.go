package keyfile_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/operations/keyfile"
)

func TestKeyIsReadBackFromATightFile(t *testing.T) {
	gm := NewWithT(t)
	path := filepath.Join(t.TempDir(), "alice.key")
	ky, err := keyfile.Generate("alice")
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(keyfile.Write(path, ky)).To(Succeed())
	info, err := os.Stat(path)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)))
	gm.Expect(keyfile.Read(path)).To(Equal(ky))
	gm.Expect(keyfile.Write(path, ky)).NotTo(Succeed(), "a key is never replaced")
}

func TestBadKeyFilesAreRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		spoil func(*WithT, string)
		want  error
	}{
		"group may read": {func(gm *WithT, path string) { gm.Expect(os.Chmod(path, 0o640)).To(Succeed()) }, keyfile.ErrMode},
		"all may write":  {func(gm *WithT, path string) { gm.Expect(os.Chmod(path, 0o602)).To(Succeed()) }, keyfile.ErrMode},
		"truncated":      {func(gm *WithT, path string) { gm.Expect(os.Truncate(path, 60)).To(Succeed()) }, keyfile.ErrFormat},
		"another text":   {func(gm *WithT, path string) { gm.Expect(os.WriteFile(path, []byte("alice"), 0o600)).To(Succeed()) }, keyfile.ErrFormat},
		"missing":        {func(gm *WithT, path string) { gm.Expect(os.Remove(path)).To(Succeed()) }, os.ErrNotExist},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			path := filepath.Join(t.TempDir(), "alice.key")
			ky, err := keyfile.Generate("alice")
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(keyfile.Write(path, ky)).To(Succeed())
			tc.spoil(gm, path)
			_, err = keyfile.Read(path)
			gm.Expect(err).To(MatchError(tc.want))
		})
	}
}
