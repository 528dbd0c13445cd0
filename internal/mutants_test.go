//go:build mutants

package internal_test

import (
	"context"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// mutant is the program with one guard taken away, and the tests that must
// notice.
type mutant struct {
	file, guard, instead string
	tests                []string
}

// mutantTime bounds the tests of one mutant: a program without a guard may hang.
const mutantTime = 3 * time.Minute

var mutants = map[string]mutant{
	"a leader does not wait for members that it cannot tell": {
		"internal/ownership/leader/move.go", "unackedEnd := mv.storedAt.Add(renewal.ConfirmTime)", "unackedEnd := mv.storedAt",
		[]string{"-run=TestDisturbances", "./internal/ownership/agent"},
	},
	"the next owner gets keys before the last grant has run out": {
		"internal/ownership/leader/move.go", "return max(co.renewalsEndAt(now, mv).Add(maxGrantTime(renewal.Hold)), mv.heldUntil)", "return now",
		[]string{"-run=TestDisturbances", "./internal/ownership/agent"},
	},
	"a leader does not wait for members that renew an older table": {
		"internal/ownership/leader/move.go", "return end.Add(renewal.CallTimeout)", "return mv.storedAt",
		[]string{"-run=TestDisturbances", "./internal/ownership/agent"},
	},
	"epochs are given twice": {
		"internal/catalog/assignment/assignment.go", "	tb.NextEpoch++\n", "",
		[]string{"-run=TestDisturbances", "./internal/ownership/agent"},
	},
	"a delta is taken by who does not know its base": {
		"internal/catalog/assignment/delta.go", "if base.Revision != dl.Base {", "if false {",
		[]string{"./internal/catalog/assignment"},
	},
	"an order goes out again although it may have run": {
		"internal/serving/proxy/proxy.go", "return ex.retry(gr, outcome.String(), ex.repeatable())", "return ex.retry(gr, outcome.String(), true)",
		[]string{"./internal/serving/proxy"},
	},
	"an unsigned answer counts as not run": {
		"internal/serving/proxy/proxy.go", "		ex.mayHaveRun = true\n		return ex.retry(gr, \"unsignedAnswer\"", "		return ex.retry(gr, \"unsignedAnswer\"",
		[]string{"./internal/serving/proxy"},
	},
	"a broken connection counts as not run": {
		"internal/serving/proxy/proxy.go", "ex.end.Err, ex.mayHaveRun = err, true", "ex.end.Err = err",
		[]string{"./internal/serving/proxy"},
	},
	"repeats have no budget": {
		"internal/serving/proxy/budget.go", "if bd.tokens[sv] < 1 {", "if false {",
		[]string{"./internal/serving/proxy"},
	},
	"a sent request counts as not sent": {
		"internal/serving/transport/transport.go", "return nil, &Failure{Sent: true, TimedOut: timedOut", "return nil, &Failure{TimedOut: timedOut",
		[]string{"./internal/serving/transport", "./internal/serving/proxy"},
	},
	"answers to other requests are taken": {
		"internal/serving/transport/transport.go", `if id := pl.requestID(rs.Header); id != "" && id != rq.ID {`, "if false {",
		[]string{"./internal/serving/transport"},
	},
	"upstreams get more than their slots": {
		"internal/serving/permit/upstream.go", " || us.busy(now) >= us.Slots {", " {",
		[]string{"./internal/serving/permit"},
	},
	"cold upstreams get what others get": {
		"internal/serving/permit/upstream.go", "	if !us.cold(now) {\n		return true\n	}\n	us.refill", "	if true {\n		return true\n	}\n	us.refill",
		[]string{"./internal/serving/permit"},
	},
	"every holder sends to cold upstreams": {
		"internal/serving/permit/queue.go", " || ak.Fallback && us.cold(now) {\n			return nil", " {\n			return nil",
		[]string{"./internal/serving/permit"},
	},
	"requests go to an owner that is losing the key": {
		"internal/serving/permit/queue.go", "if us == nil || moving ||", "if us == nil || moving && false ||",
		[]string{"./internal/serving/permit"},
	},
	"a bundle of an untrusted key is opened": {
		"internal/catalog/bundle/seal.go", "if !verified(tr.keysFor(sl), sl.Key, sl.Body, sl.Signature) {", "if false {",
		[]string{"./internal/catalog/bundle"},
	},
	"an unanswered write counts as not done": {
		"platform/store.go", "		return Unknown, 0, err\n	}\n	switch status {", "		return NotDone, 0, err\n	}\n	switch status {",
		[]string{"./platform"},
	},
	"an upstream that leaves is sent to": {
		"internal/fleet/gateway/loop.go", "refuseAt := up.LeavingAt", "refuseAt := clock.Never",
		[]string{"-run=TestDrainWhileStoreRefusesLeader", "./internal/stand/deployment"},
	},
}

// copyModule copies the source of the module.
func copyModule(from, to string) error {
	return filepath.WalkDir(from, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		switch {
		case entry.IsDir() && (rel == ".git" || rel == "journal" || rel == "target" || rel == "tools"):
			return filepath.SkipDir
		case entry.IsDir():
			return os.MkdirAll(filepath.Join(to, rel), 0o755)
		}
		body, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), body, 0o600)
	})
}

// TestMutants takes one guard away at a time and asks that a test fails.
func TestMutants(t *testing.T) {
	for name, mu := range mutants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dir := t.TempDir()
			gm.Expect(copyModule("..", dir)).To(Succeed())
			path := filepath.Join(dir, mu.file)
			body, err := os.ReadFile(path)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(strings.Count(string(body), mu.guard)).To(Equal(1), "the guard stands once in %s", mu.file)
			gm.Expect(os.WriteFile(path, []byte(strings.Replace(string(body), mu.guard, mu.instead, 1)), 0o600)).To(Succeed())
			ctx, cancel := context.WithTimeout(t.Context(), mutantTime)
			defer cancel()
			cm := exec.CommandContext(ctx, "go", append([]string{"test", "-count=1"}, mu.tests...)...)
			cm.Dir = dir
			output, err := cm.CombinedOutput()
			gm.Expect(err).To(HaveOccurred(), "no test noticed")
			gm.Expect(string(output)).To(ContainSubstring("--- FAIL"), "it must fail by a check, not otherwise: %s", output)
		})
	}
}
