package timeline_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/stand/timeline"
)

func TestEventsRunInOrderOfTimeThenOfAdding(t *testing.T) {
	gm := NewWithT(t)
	ln := timeline.New()
	var ran []string
	add := func(name string) func() { return func() { ran = append(ran, name) } }
	ln.After(2*time.Second, add("second"))
	ln.After(time.Second, add("first"))
	ln.After(2*time.Second, add("third"))
	ln.After(time.Minute, add("never"))
	ln.RunUntil(clock.Instant(3 * time.Second))
	gm.Expect(ran).To(Equal([]string{"first", "second", "third"}))
	gm.Expect(ln.Now()).To(Equal(clock.Instant(3 * time.Second)))
	gm.Expect(ln.Len()).To(Equal(1))
}
