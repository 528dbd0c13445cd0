package acceptance_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/examples"
	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/operations/acceptance"
	"chervilwalk/internal/operations/keyfile"
	"chervilwalk/platform"
)

// fakeStore implements Store in memory, with the faults that a test sets.
type fakeStore struct {
	mu      sync.Mutex
	row     platform.Row
	objects map[bundle.Digest][]byte
	calls   int
	// killedAt is the number of the first call that fails, as do all after it, as
	// if the process had been killed. 0 for none.
	killedAt int
	// loseAnswers is how many writes take effect but return Unknown.
	loseAnswers int
	// dropWrites is how many writes have no effect and return Unknown.
	dropWrites int
	putFails   bool
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[bundle.Digest][]byte{}} }

// countCall counts a call; true means that the process has been killed.
func (fk *fakeStore) countCall() bool {
	fk.calls++
	return fk.killedAt > 0 && fk.calls >= fk.killedAt
}

func (fk *fakeStore) Row(context.Context) ([]byte, platform.Version, error) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	if fk.countCall() {
		return nil, 0, errors.New("killed")
	}
	return fk.row.Value, fk.row.Version, nil
}

func (fk *fakeStore) Replace(_ context.Context, base platform.Version, value []byte) (platform.Outcome, platform.Version) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	if fk.countCall() {
		return platform.Unknown, 0
	}
	if fk.dropWrites > 0 {
		fk.dropWrites--
		return platform.Unknown, 0
	}
	if base != fk.row.Version {
		return platform.Conflict, 0
	}
	fk.row = platform.Row{Value: value, Version: base + 1}
	if fk.loseAnswers > 0 {
		fk.loseAnswers--
		return platform.Unknown, 0
	}
	return platform.Done, fk.row.Version
}

func (fk *fakeStore) Put(_ context.Context, dg bundle.Digest, body []byte) error {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	if fk.countCall() || fk.putFails {
		return errors.New("down")
	}
	fk.objects[dg] = body
	return nil
}

func (fk *fakeStore) Get(_ context.Context, dg bundle.Digest) ([]byte, error) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	if body, ok := fk.objects[dg]; ok && !fk.countCall() {
		return body, nil
	}
	return nil, errors.New("no such body")
}

func (fk *fakeStore) repository() acceptance.Repository { return acceptance.Repository{Store: fk} }

// signedBundle returns an example bundle with a version, signed with one key and
// trusting others.
func signedBundle(gm *WithT, vs bundle.Version, signer keyfile.Key, trusted ...keyfile.Key) bundle.Seal {
	bn, err := bundle.Parse("mushi", examples.Mushi)
	gm.Expect(err).NotTo(HaveOccurred())
	bn.Version, bn.TrustedKeys = vs, nil
	for _, ky := range trusted {
		bn.TrustedKeys = append(bn.TrustedKeys, ky.Trusted())
	}
	body, err := bundle.Format(bn)
	gm.Expect(err).NotTo(HaveOccurred())
	return bundle.Sign(bn, body, signer.Name, signer.Private)
}

func generateKey(gm *WithT, name string) keyfile.Key {
	ky, err := keyfile.Generate(name)
	gm.Expect(err).NotTo(HaveOccurred())
	return ky
}

func TestAccept(t *testing.T) {
	gm := NewWithT(t)
	alice, bob := generateKey(gm, "alice"), generateKey(gm, "bob")
	for name, tc := range map[string]struct {
		fault func(*fakeStore)
		seal  bundle.Seal
		want  error
	}{
		"next version":            {func(*fakeStore) {}, signedBundle(gm, 2, alice, alice), nil},
		"answer lost":             {func(fk *fakeStore) { fk.loseAnswers = 1 }, signedBundle(gm, 2, alice, alice), nil},
		"write lost":              {func(fk *fakeStore) { fk.dropWrites = 3 }, signedBundle(gm, 2, alice, alice), nil},
		"row rewritten unchanged": {func(fk *fakeStore) { fk.dropWrites = 1; fk.row.Version++ }, signedBundle(gm, 2, alice, alice), nil},
		"object store down":       {func(fk *fakeStore) { fk.putFails = true }, signedBundle(gm, 2, alice, alice), errors.New("nothing was accepted: down")},
		"untrusted key":           {func(*fakeStore) {}, signedBundle(gm, 2, bob, alice, bob), bundle.ErrUntrusted},
		"version skipped":         {func(*fakeStore) {}, signedBundle(gm, 3, alice, alice), &acceptance.GapError{Accepted: 1, Tried: 3}},
		"old version":             {func(*fakeStore) {}, signedBundle(gm, 1, alice, bob), &acceptance.ConflictError{Version: 1, Key: "alice", Tried: 1}},
		"trusts no key":           {func(*fakeStore) {}, signedBundle(gm, 2, alice), bundle.ErrKeyless},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gm := NewWithT(t)
				fk := newFakeStore()
				first := signedBundle(gm, 1, alice, alice)
				_, err := fk.repository().Accept(t.Context(), first)
				gm.Expect(err).NotTo(HaveOccurred())
				tc.fault(fk)
				_, err = fk.repository().Accept(t.Context(), tc.seal)
				after, cerr := fk.repository().Current(t.Context())
				gm.Expect(cerr).NotTo(HaveOccurred())
				if tc.want == nil {
					gm.Expect(err).NotTo(HaveOccurred())
					gm.Expect(after.Seal.Signature).To(Equal(tc.seal.Signature))
					return
				}
				gm.Expect(err).To(MatchError(ContainSubstring(tc.want.Error())))
				gm.Expect(after.Seal.Signature).To(Equal(first.Signature))
			})
		})
	}
}

// TestConcurrentAcceptHasOneWinner checks that of several operators with the
// same base exactly one succeeds, and that the others get the version and key of
// the accepted bundle.
func TestConcurrentAcceptHasOneWinner(t *testing.T) {
	gm := NewWithT(t)
	fk := newFakeStore()
	names := []string{"alice", "bob", "carol", "dave"}
	var keys []keyfile.Key
	for _, name := range names {
		keys = append(keys, generateKey(gm, name))
	}
	_, err := fk.repository().Accept(t.Context(), signedBundle(gm, 1, keys[0], keys...))
	gm.Expect(err).NotTo(HaveOccurred())
	errs := make([]error, len(keys))
	var wg sync.WaitGroup
	for ix, ky := range keys {
		sl := signedBundle(gm, 2, ky, keys...)
		wg.Go(func() { _, errs[ix] = fk.repository().Accept(context.Background(), sl) })
	}
	wg.Wait()
	after, err := fk.repository().Current(t.Context())
	gm.Expect(err).NotTo(HaveOccurred())
	for ix, err := range errs {
		if names[ix] == after.Seal.Key {
			gm.Expect(err).NotTo(HaveOccurred())
			continue
		}
		gm.Expect(err).To(Equal(&acceptance.ConflictError{Version: 2, Key: after.Seal.Key, Tried: 2}))
	}
}

// TestAcceptCanBeRepeatedAfterKill kills a run before each of its calls in turn.
// The old or the new bundle must be accepted then, and repeating the run must
// succeed.
func TestAcceptCanBeRepeatedAfterKill(t *testing.T) {
	for killedAt := 1; killedAt <= 6; killedAt++ {
		synctest.Test(t, func(t *testing.T) {
			gm := NewWithT(t)
			alice := generateKey(gm, "alice")
			fk := newFakeStore()
			first, second := signedBundle(gm, 1, alice, alice), signedBundle(gm, 2, alice, alice)
			_, err := fk.repository().Accept(t.Context(), first)
			gm.Expect(err).NotTo(HaveOccurred())
			fk.calls, fk.killedAt = 0, killedAt
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err = fk.repository().Accept(ctx, second)
			cancel()
			fk.killedAt = 0
			interrupted, cerr := fk.repository().Current(t.Context())
			gm.Expect(cerr).NotTo(HaveOccurred())
			if err != nil {
				gm.Expect(interrupted.Seal.Signature).To(Equal(first.Signature))
			}
			_, err = fk.repository().Accept(t.Context(), second)
			gm.Expect(err).NotTo(HaveOccurred())
			done, cerr := fk.repository().Current(t.Context())
			gm.Expect(cerr).NotTo(HaveOccurred())
			gm.Expect(done.Seal.Signature).To(Equal(second.Signature))
		})
	}
}

func TestDamagedBodyIsReported(t *testing.T) {
	gm := NewWithT(t)
	alice := generateKey(gm, "alice")
	fk := newFakeStore()
	sl := signedBundle(gm, 1, alice, alice)
	_, err := fk.repository().Accept(t.Context(), sl)
	gm.Expect(err).NotTo(HaveOccurred())
	fk.objects[bundle.DigestOf(sl.Body)] = sl.Body[:9]
	_, err = fk.repository().Current(t.Context())
	gm.Expect(err).To(MatchError(acceptance.ErrBadBody))
	_, err = fk.repository().Accept(t.Context(), sl)
	gm.Expect(err).NotTo(HaveOccurred(), "accepting the same bundle again must store its body again")
	_, err = fk.repository().Current(t.Context())
	gm.Expect(err).NotTo(HaveOccurred())
}

func TestAwaitReportsEachHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gm := NewWithT(t)
		bn := &bundle.Bundle{Version: 5, Hosts: []bundle.Host{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
		begun := time.Now()
		ask := func(_ context.Context, ho bundle.Host) (bundle.Version, error) {
			switch {
			case ho.Name == "c":
				return 0, errors.New("refused")
			case ho.Name == "b" && time.Since(begun) < 2*time.Second:
				return 4, nil
			default:
				return 5, nil
			}
		}
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		states, done := acceptance.Await(short, bn, ask)
		gm.Expect(done).To(BeFalse())
		gm.Expect(states[1].Version).To(Equal(bundle.Version(4)))
		states, done = acceptance.Await(t.Context(), bn, ask)
		gm.Expect(done).To(BeTrue())
		gm.Expect(states[1].Version).To(Equal(bundle.Version(5)))
		gm.Expect(states[2].Err).To(HaveOccurred())
		gm.Expect(time.Since(begun)).To(BeNumerically(">=", 2*time.Second))
	})
}
