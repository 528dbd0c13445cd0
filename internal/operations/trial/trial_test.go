package trial_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/examples"
	"chervilwalk/internal/operations/trial"
)

// A fleet without faults answers every request that it does not refuse, and
// breaks no promise.
func TestFleetServesMixedLoad(t *testing.T) {
	gm := NewWithT(t)
	fl, err := trial.StartFleet("mushi", examples.Mushi)
	gm.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	gm.Expect(fl.AwaitServing(ctx)).To(Succeed())

	ld := trial.NewLoad(fl)
	ld.Run(ctx, 1, 200, 8)
	ct := ld.Count()
	gm.Expect(fl.Close(ctx)).To(Succeed())

	gm.Expect(ct.Requests).To(Equal(200))
	gm.Expect(ct.Answered + ct.RefusedNotRun + ct.MayHaveRun).To(Equal(200))
	gm.Expect(ct.Answered).To(BeNumerically(">", 0))
	gm.Expect(ct.Broken()).To(BeFalse())
}
