package trial_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/examples"
	"chervilwalk/internal/operations/trial"
)

// start runs a fleet that serves, until the test's end.
func start(ctx context.Context, t *testing.T) *trial.Fleet {
	t.Helper()
	gm := NewWithT(t)
	fl, err := trial.StartFleet("mushi", examples.Mushi)
	gm.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(fl.Close)
	gm.Expect(fl.AwaitServing(ctx)).To(Succeed())
	return fl
}

// A fleet keeps its promises while a node stops, an upstream is lost, a domain
// goes out and back and a bundle is accepted.
func TestFleetKeepsItsPromises(t *testing.T) {
	gm := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const requests = 1500
	ct, failures, err := trial.NewScript(start(ctx, t), t.Logf).Run(ctx, 1, requests)
	gm.Expect(err).NotTo(HaveOccurred())
	t.Logf("%+v\n%v", ct, failures)
	gm.Expect(ct.Requests).To(BeNumerically(">", requests), "the load and the probes")
	gm.Expect(ct.Answered + ct.RefusedNotRun + ct.MayHaveRun).To(Equal(ct.Requests))
	gm.Expect(ct.Answered).To(BeNumerically(">", ct.Requests/2))
	gm.Expect(ct.Broken()).To(BeFalse())
}

// A planned stop of each node in turn cuts off nothing and refuses nothing.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	gm := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	fl := start(ctx, t)
	ld := trial.NewLoad(fl)
	ended := make(chan struct{})
	running, stop := context.WithCancel(ctx)
	go func() {
		defer close(ended)
		ld.Run(running, 1, 6000, 20*time.Second)
	}()
	for _, ho := range fl.Bundle.Hosts {
		gm.Expect(fl.StopNode(ctx, ho.Name)).To(Succeed())
		gm.Expect(fl.StartNode(ho.Name)).To(Succeed())
		gm.Expect(fl.AwaitServing(ctx)).To(Succeed())
	}
	stop()
	<-ended
	ct := ld.Count()
	t.Logf("%+v\n%v", ct, ld.Failures())
	gm.Expect(ct.Broken()).To(BeFalse())
	gm.Expect(ct.Answered).To(BeNumerically(">", 0))
	gm.Expect(ct.VisibleCuts).To(BeZero())
	gm.Expect(ct.MayHaveRun).To(BeZero())
	gm.Expect(ct.RefusedNotRun).To(BeZero())
}

// The loss of each node of a domain, one after the other, breaks no promise.
func TestLostNodesBreakNoPromise(t *testing.T) {
	gm := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	fl := start(ctx, t)
	ld := trial.NewLoad(fl)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ld.Run(ctx, 2, 2400, 8*time.Second)
	}()
	for _, ho := range fl.Bundle.HostsOf(fl.Bundle.Domains[0].Name) {
		time.Sleep(lossPause)
		fl.KillNode(ho.Name)
		time.Sleep(lossPause)
		gm.Expect(fl.StartNode(ho.Name)).To(Succeed())
	}
	<-ended
	ct := ld.Count()
	t.Logf("%+v\n%v", ct, ld.Failures())
	gm.Expect(ct.Answered).To(BeNumerically(">", ct.Requests/2))
	gm.Expect(ct.Broken()).To(BeFalse())
}

// lossPause is longer than every lease.
const lossPause = 1500 * time.Millisecond
