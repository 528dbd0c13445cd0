package keyfile_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/operations/keyfile"
)

func TestWriteAndRead(t *testing.T) {
	gm := NewWithT(t)
	path := filepath.Join(t.TempDir(), "alice.key")
	ky, err := keyfile.Generate("alice")
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(keyfile.Write(path, ky)).To(Succeed())
	info, err := os.Stat(path)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)))
	gm.Expect(keyfile.Read(path)).To(Equal(ky))
	gm.Expect(keyfile.Write(path, ky)).NotTo(Succeed(), "an existing file must not be replaced")
}

func TestReadRejectsBadFiles(t *testing.T) {
	for name, tc := range map[string]struct {
		damage func(*WithT, string)
		want   error
	}{
		"readable by group":  {func(gm *WithT, path string) { gm.Expect(os.Chmod(path, 0o640)).To(Succeed()) }, keyfile.ErrPermissions},
		"writable by others": {func(gm *WithT, path string) { gm.Expect(os.Chmod(path, 0o602)).To(Succeed()) }, keyfile.ErrPermissions},
		"truncated":          {func(gm *WithT, path string) { gm.Expect(os.Truncate(path, 60)).To(Succeed()) }, keyfile.ErrFormat},
		"not a PEM block":    {func(gm *WithT, path string) { gm.Expect(os.WriteFile(path, []byte("alice"), 0o600)).To(Succeed()) }, keyfile.ErrFormat},
		"missing":            {func(gm *WithT, path string) { gm.Expect(os.Remove(path)).To(Succeed()) }, os.ErrNotExist},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			path := filepath.Join(t.TempDir(), "alice.key")
			ky, err := keyfile.Generate("alice")
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(keyfile.Write(path, ky)).To(Succeed())
			tc.damage(gm, path)
			_, err = keyfile.Read(path)
			gm.Expect(err).To(MatchError(tc.want))
		})
	}
}
