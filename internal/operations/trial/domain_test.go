package trial_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/examples"
	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/operations/trial"
	standplatform "chervilwalk/internal/stand/platform"
)

const (
	// outTime is the seconds after which a domain that went out gets no new work.
	outTime = 4 * time.Second
	// silentTime is longer than every lease.
	silentTime = 3 * time.Second
)

// A domain that was taken out gets no new work after a few seconds, and its
// slices are served elsewhere meanwhile.
func TestDomainOutGetsNoNewWork(t *testing.T) {
	gm := NewWithT(t)
	fl, err := trial.StartFleet("mushi", examples.Mushi)
	gm.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	gm.Expect(fl.AwaitServing(ctx)).To(Succeed())

	out := fl.Bundle.Domains[0].Name
	fl.Bundle.Domains[0].Out = true
	fl.Bundle.Version++
	gm.Expect(fl.Accept(ctx)).To(Succeed())
	time.Sleep(outTime)
	settled := clock.Boot{}.Now()

	ld := trial.NewLoad(fl)
	ld.Run(ctx, 1, 200, time.Second)
	ct := ld.Count()
	fl.Close()
	gm.Expect(ct.Answered).To(BeNumerically(">", 0))
	gm.Expect(ct.Broken()).To(BeFalse())
	late := 0
	for _, sv := range fl.Bundle.Services {
		for _, up := range sv.Upstreams {
			for _, rn := range fl.Upstreams[up.Name].Runs() {
				if up.Domain == out && settled.Before(rn.Started) {
					late++
				}
			}
		}
	}
	gm.Expect(late).To(Equal(0))
}

// The domains carry each other while the platform is silent for all of them.
func TestFleetServesWithoutThePlatform(t *testing.T) {
	gm := NewWithT(t)
	fl, err := trial.StartFleet("mushi", examples.Mushi)
	gm.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	gm.Expect(fl.AwaitServing(ctx)).To(Succeed())
	time.Sleep(outTime)

	fl.Platform.SetFaults(standplatform.Faults{Down: true})
	time.Sleep(silentTime)
	ld := trial.NewLoad(fl)
	ld.Run(ctx, 1, 200, time.Second)
	ct := ld.Count()
	fl.Close()
	gm.Expect(ct.Answered).To(BeNumerically(">", ct.RefusedNotRun))
	gm.Expect(ct.Broken()).To(BeFalse())
}
