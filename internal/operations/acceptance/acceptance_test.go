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

// fake is a table with one row and an object store, whose calls fail as a test
// says.
type fake struct {
	mu      sync.Mutex
	row     platform.Row
	objects map[bundle.Digest][]byte
	calls   int
	// dieAt ends every call from this one on, as a killed process would.
	dieAt int
	// loseAnswers makes transactions answer Unknown this many times.
	loseAnswers int
	// dropWrites makes transactions answer Unknown without effect.
	dropWrites int
	putFails   bool
}

func newFake() *fake { return &fake{objects: map[bundle.Digest][]byte{}} }

// call counts a call; true when the process is dead.
func (fk *fake) call() bool {
	fk.calls++
	return fk.dieAt > 0 && fk.calls >= fk.dieAt
}

func (fk *fake) Row(context.Context) ([]byte, platform.Version, error) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	if fk.call() {
		return nil, 0, errors.New("dead")
	}
	return fk.row.Value, fk.row.Version, nil
}

func (fk *fake) Replace(_ context.Context, base platform.Version, value []byte) (platform.Outcome, platform.Version) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	if fk.call() {
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

func (fk *fake) Put(_ context.Context, dg bundle.Digest, body []byte) error {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	if fk.call() || fk.putFails {
		return errors.New("down")
	}
	fk.objects[dg] = body
	return nil
}

func (fk *fake) Get(_ context.Context, dg bundle.Digest) ([]byte, error) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	if body, ok := fk.objects[dg]; ok && !fk.call() {
		return body, nil
	}
	return nil, errors.New("no such body")
}

func (fk *fake) shelf() acceptance.Repository { return acceptance.Repository{Store: fk} }

// made is an example at a version, trusting a key and signed with another.
func made(gm *WithT, vs bundle.Version, signer keyfile.Key, trusted ...keyfile.Key) bundle.Seal {
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

func key(gm *WithT, name string) keyfile.Key {
	ky, err := keyfile.Generate(name)
	gm.Expect(err).NotTo(HaveOccurred())
	return ky
}

func TestAcceptance(t *testing.T) {
	gm := NewWithT(t)
	alice, bob := key(gm, "alice"), key(gm, "bob")
	for name, tc := range map[string]struct {
		fault func(*fake)
		seal  bundle.Seal
		want  error
	}{
		"next version":          {func(*fake) {}, made(gm, 2, alice, alice), nil},
		"answer lost":           {func(fk *fake) { fk.loseAnswers = 1 }, made(gm, 2, alice, alice), nil},
		"write lost":            {func(fk *fake) { fk.dropWrites = 3 }, made(gm, 2, alice, alice), nil},
		"row restored meantime": {func(fk *fake) { fk.dropWrites = 1; fk.row.Version++ }, made(gm, 2, alice, alice), nil},
		"object store down":     {func(fk *fake) { fk.putFails = true }, made(gm, 2, alice, alice), errors.New("nothing was accepted: down")},
		"a stranger":            {func(*fake) {}, made(gm, 2, bob, alice, bob), bundle.ErrUntrusted},
		"a gap":                 {func(*fake) {}, made(gm, 3, alice, alice), &acceptance.GapError{Accepted: 1, Tried: 3}},
		"an old version":        {func(*fake) {}, made(gm, 1, alice, bob), &acceptance.ConflictError{Version: 1, Key: "alice", Tried: 1}},
		"trusts no key":         {func(*fake) {}, made(gm, 2, alice), bundle.ErrKeyless},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gm := NewWithT(t)
				fk := newFake()
				first := made(gm, 1, alice, alice)
				_, err := fk.shelf().Accept(t.Context(), first)
				gm.Expect(err).NotTo(HaveOccurred())
				tc.fault(fk)
				_, err = fk.shelf().Accept(t.Context(), tc.seal)
				after, cerr := fk.shelf().Current(t.Context())
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

// Of many operators with the same base exactly one wins, and each loser is told
// which version and whose key won.
func TestRacingOperators(t *testing.T) {
	gm := NewWithT(t)
	fk := newFake()
	names := []string{"alice", "bob", "carol", "dave"}
	var keys []keyfile.Key
	for _, name := range names {
		keys = append(keys, key(gm, name))
	}
	_, err := fk.shelf().Accept(t.Context(), made(gm, 1, keys[0], keys...))
	gm.Expect(err).NotTo(HaveOccurred())
	errs := make([]error, len(keys))
	var wg sync.WaitGroup
	for ix, ky := range keys {
		sl := made(gm, 2, ky, keys...)
		wg.Go(func() { _, errs[ix] = fk.shelf().Accept(context.Background(), sl) })
	}
	wg.Wait()
	after, err := fk.shelf().Current(t.Context())
	gm.Expect(err).NotTo(HaveOccurred())
	for ix, err := range errs {
		if names[ix] == after.Seal.Key {
			gm.Expect(err).NotTo(HaveOccurred())
			continue
		}
		gm.Expect(err).To(Equal(&acceptance.ConflictError{Version: 2, Key: after.Seal.Key, Tried: 2}))
	}
}

// A run killed before any of its calls leaves a whole bundle accepted, old or
// new, and the same command run again finishes it.
func TestARunKilledAnywhereCanBeRunAgain(t *testing.T) {
	for dieAt := 1; dieAt <= 6; dieAt++ {
		synctest.Test(t, func(t *testing.T) {
			gm := NewWithT(t)
			alice := key(gm, "alice")
			fk := newFake()
			first, second := made(gm, 1, alice, alice), made(gm, 2, alice, alice)
			_, err := fk.shelf().Accept(t.Context(), first)
			gm.Expect(err).NotTo(HaveOccurred())
			fk.calls, fk.dieAt = 0, dieAt
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err = fk.shelf().Accept(ctx, second)
			cancel()
			fk.dieAt = 0
			half, cerr := fk.shelf().Current(t.Context())
			gm.Expect(cerr).NotTo(HaveOccurred())
			if err != nil {
				gm.Expect(half.Seal.Signature).To(Equal(first.Signature))
			}
			_, err = fk.shelf().Accept(t.Context(), second)
			gm.Expect(err).NotTo(HaveOccurred())
			done, cerr := fk.shelf().Current(t.Context())
			gm.Expect(cerr).NotTo(HaveOccurred())
			gm.Expect(done.Seal.Signature).To(Equal(second.Signature))
		})
	}
}

func TestDamagedBodyIsNamed(t *testing.T) {
	gm := NewWithT(t)
	alice := key(gm, "alice")
	fk := newFake()
	sl := made(gm, 1, alice, alice)
	_, err := fk.shelf().Accept(t.Context(), sl)
	gm.Expect(err).NotTo(HaveOccurred())
	fk.objects[bundle.DigestOf(sl.Body)] = sl.Body[:9]
	_, err = fk.shelf().Current(t.Context())
	gm.Expect(err).To(MatchError(acceptance.ErrBody))
	_, err = fk.shelf().Accept(t.Context(), sl)
	gm.Expect(err).NotTo(HaveOccurred(), "accepting the same bundle again stores its body again")
	_, err = fk.shelf().Current(t.Context())
	gm.Expect(err).NotTo(HaveOccurred())
}

func TestAwaitNamesWhoHasItAndWhoHasNot(t *testing.T) {
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
