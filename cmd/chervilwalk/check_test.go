package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestCheckSettings(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		// says are parts of what the command prints.
		says  []string
		valid bool
	}{
		"valid":              {settingsText, []string{"valid: host host-1 in domain domain-1", "127.0.0.1:8080"}, true},
		"not YAML":           {"node: [", []string{"settings file", "line 1"}, false},
		"without an address": {strings.Replace(settingsText, "127.0.0.1:8082", "store", 1), []string{`platform.address is "store"`, "want an IP and a port"}, false},
		"bounds too low": {
			settingsText + "bounds: [drain-s=0.5, max-hold-s=1]\n",
			[]string{"drain-s is 500ms, this build needs 1.7s", "max-hold-s is 1s, this build needs 4s"},
			false,
		},
		"a bound that is no number": {settingsText + "bounds: [drain-s=soon]\n", []string{`"drain-s=soon"`}, false},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			path := filepath.Join(t.TempDir(), "settings.yaml")
			gm.Expect(os.WriteFile(path, []byte(tc.text), 0o600)).To(Succeed())
			var output bytes.Buffer
			err := checkSettings(&output, []string{path})
			gm.Expect(err == nil).To(Equal(tc.valid), "%v", err)
			gm.Expect(output.String()).To(HavePrefix(path + ": "))
			for _, part := range tc.says {
				gm.Expect(output.String()).To(ContainSubstring(part))
			}
		})
	}
	t.Run("missing", func(t *testing.T) {
		gm := NewWithT(t)
		var output bytes.Buffer
		gm.Expect(checkSettings(&output, []string{"/nowhere/settings.yaml"})).NotTo(Succeed())
		gm.Expect(output.String()).To(ContainSubstring("no such file"))
	})
}
