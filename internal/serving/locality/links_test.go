package locality_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/serving/locality"
)

// TestLinks guards against a domain that is taken for cut off when a few upstreams crash, or when
// it is another one that nobody reaches, and against one that goes on trying when it is.
func TestLinks(t *testing.T) {
	const start = clock.Instant(time.Hour)
	// lost loses requests to upstreams of a domain, heard gets replies from one.
	type step struct {
		to              ident.Domain
		lost, upstreams int
		heard           bool
	}
	reached := []step{{to: "a", heard: true}, {to: "b", heard: true}, {to: "c", heard: true}}
	cases := map[string]struct {
		steps                  []step
		down, isolated, silent bool
	}{
		"all are reached":                  {steps: reached},
		"one upstream crashes":             {steps: append(reached[:3:3], step{to: "b", lost: 20, upstreams: 1})},
		"three requests are lost":          {steps: append(reached[:3:3], step{to: "b", lost: 3, upstreams: 3})},
		"a domain goes dark":               {steps: append(reached[:3:3], step{to: "b", lost: 4, upstreams: 2}, step{to: "a", heard: true}), down: true, silent: true},
		"it is back":                       {steps: append(reached[:3:3], step{to: "b", lost: 4, upstreams: 2}, step{to: "b", heard: true})},
		"all other domains are lost":       {steps: append(reached[:3:3], step{to: "b", lost: 4, upstreams: 2}, step{to: "c", lost: 4, upstreams: 2}, step{to: "a", heard: true}), down: true, isolated: true, silent: true},
		"its own is not heard since":       {steps: append(reached[:3:3], step{to: "b", lost: 4, upstreams: 2}, step{to: "c", lost: 4, upstreams: 2}), down: true, silent: true},
		"the host alone is cut off":        {steps: append(reached[:3:3], step{to: "b", lost: 4, upstreams: 2}, step{to: "c", lost: 4, upstreams: 2}, step{to: "a", lost: 4, upstreams: 2}), down: true, isolated: true, silent: true},
		"one of the others is back":        {steps: append(reached[:3:3], step{to: "b", lost: 4, upstreams: 2}, step{to: "c", lost: 4, upstreams: 2}, step{to: "a", heard: true}, step{to: "c", heard: true}), down: true, silent: true},
		"the only other domain goes dark":  {steps: []step{{to: "a", heard: true}, {to: "b", lost: 4, upstreams: 2}, {to: "a", heard: true}}, down: true, silent: true},
		"another domain hears its replies": {steps: append(reached[:3:3], step{to: "b", lost: 4, upstreams: 2}, step{to: "from c", heard: true}), down: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			ls, now := locality.NewLinks(), start
			for _, st := range tc.steps {
				now = now.Add(100 * time.Millisecond)
				lk := locality.Link{From: "a", To: st.to}
				if st.to == "from c" {
					lk = locality.Link{From: "c", To: "b"}
				}
				if st.heard {
					ls.Heard(now, lk)
				}
				for ix := range st.lost {
					ls.Lost(now, lk, ident.Upstream(fmt.Sprint("u", ix%st.upstreams)), now.Add(-50*time.Millisecond))
				}
			}
			lk := locality.Link{From: "a", To: "b"}
			gm.Expect(ls.Down(lk)).To(Equal(tc.down))
			gm.Expect(ls.Isolated(now, "a")).To(Equal(tc.isolated))
			gm.Expect(ls.Silent(now.Add(time.Second), "b")).To(Equal(tc.silent))
			gm.Expect(ls.Allows(now, lk)).To(BeTrue(), "a probe")
			ls.Sent(now, lk)
			gm.Expect(ls.Allows(now.Add(time.Millisecond), lk)).To(Equal(!tc.down))
			gm.Expect(ls.Allows(now.Add(time.Second), lk)).To(BeTrue())
		})
	}
}

// TestRequestsFromBeforeTheNewestReply guards against a link that counts as down by requests that
// were sent before it carried a reply.
func TestRequestsFromBeforeTheNewestReply(t *testing.T) {
	gm := NewWithT(t)
	ls, now, lk := locality.NewLinks(), clock.Instant(time.Hour), locality.Link{From: "a", To: "b"}
	ls.Heard(now, lk)
	for ix := range 20 {
		ls.Lost(now, lk, ident.Upstream(fmt.Sprint("u", ix)), now.Add(-time.Millisecond))
	}
	gm.Expect(ls.Down(lk)).To(BeFalse())
}
