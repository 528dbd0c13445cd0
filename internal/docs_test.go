package internal_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestEventsAndMetricsAreDocumented checks that the page for operators names every
// log event and metric.
func TestEventsAndMetricsAreDocumented(t *testing.T) {
	gm := NewWithT(t)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	gm.Expect(err).NotTo(HaveOccurred())
	event := regexp.MustCompile(`(?:\.Event|ErrorEvent|logEvent)\("([a-zA-Z]+)"`)
	metric := regexp.MustCompile(`Name: +"([a-z_]+)"`)
	for _, pattern := range []string{"fleet/*/*.go", "ownership/*/*.go", "operations/*/*.go", "../cmd/chervilwalk/*.go"} {
		files, err := filepath.Glob(pattern)
		gm.Expect(err).NotTo(HaveOccurred())
		gm.Expect(files).NotTo(BeEmpty(), pattern)
		for _, file := range files {
			if matched, _ := filepath.Match("*_test.go", filepath.Base(file)); matched {
				continue
			}
			source, err := os.ReadFile(file)
			gm.Expect(err).NotTo(HaveOccurred())
			for prefix, re := range map[string]*regexp.Regexp{"`": event, "`chervilwalk_": metric} {
				for _, found := range re.FindAllSubmatch(source, -1) {
					gm.Expect(strings.Contains(string(page), prefix+string(found[1]))).To(BeTrue(), "%s names %s", file, found[1])
				}
			}
		}
	}
}
