package proxy

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// TestAnswerSizes guards against one large answer that keeps all requests of its route at home,
// against a size that is never forgotten, and against state without bound.
func TestAnswerSizes(t *testing.T) {
	gm := NewWithT(t)
	as := newAnswerSizes()
	gm.Expect(as.mean("r")).To(BeZero())
	for range 100 {
		as.note("r", 1000)
	}
	as.note("r", 11000)
	gm.Expect(as.mean("r")).To(BeNumerically("<=", 2000))
	for range 100 {
		as.note("r", 50000)
	}
	gm.Expect(as.mean("r")).To(BeNumerically("~", 50000, 500))
	for ix := range 3 * maxRoutes {
		as.note(fmt.Sprint("r", ix), 1)
	}
	gm.Expect(len(as.routes)).To(BeNumerically("<=", maxRoutes))
}
