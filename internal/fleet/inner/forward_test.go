package inner_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/verdict"
)

// holder serves calls by a function.
type holder struct {
	inner.Service
	serve func(ctx context.Context, ca *inner.Call) (*dispatch.Answer, error)
}

// Serve implements inner.Service.
func (ho *holder) Serve(ctx context.Context, ca *inner.Call) (*dispatch.Answer, error) {
	return ho.serve(ctx, ca)
}

// hop runs both ends of the hop until the test's end.
func hop(t *testing.T, serve func(ctx context.Context, ca *inner.Call) (*dispatch.Answer, error)) *inner.Peer {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := inner.NewServer(&holder{serve: serve})
	go func() { _ = server.Serve(ls) }()
	pe := inner.NewPeer(ls.Addr().String())
	t.Cleanup(func() {
		pe.Close()
		_ = server.Close()
	})
	return pe
}

func call(id string) *inner.Call {
	return &inner.Call{ID: ident.Request("r-" + id), Service: "orders", Method: http.MethodGet, Path: "/orders/" + id, Deadline: time.Now().Add(10 * time.Second)}
}

func TestCallCrossesTheHopUnchanged(t *testing.T) {
	gm := NewWithT(t)
	sent := &inner.Call{
		ID: "r1", Pool: "orders@a#0", Service: "orders", Key: "k\xff", Slice: 7, Method: http.MethodPost, Path: "/orders/\xc3\x28",
		Header: http.Header{"X-Latin": {"caf\xe9", "two"}}, Body: []byte{0, 255}, Idempotent: true, Deadline: time.Now().Add(5 * time.Second),
	}
	var got *inner.Call
	pe := hop(t, func(_ context.Context, ca *inner.Call) (*dispatch.Answer, error) {
		got = ca
		return nil, &verdict.Error{Verdict: verdict.NotRun, Status: 503, Reason: "busy", RetryAfter: 1500 * time.Millisecond}
	})
	_, err := pe.Forward(t.Context(), sent)
	gm.Expect(verdict.From(err)).To(Equal(&verdict.Error{Verdict: verdict.NotRun, Status: 503, Reason: "busy", RetryAfter: 1500 * time.Millisecond}))
	gm.Expect(got.Deadline).To(BeTemporally("~", sent.Deadline, time.Second))
	got.Deadline = sent.Deadline
	gm.Expect(got).To(Equal(sent))
}

// A body that is cut at any point at the holder is cut at the entry.
func TestCutCrossesTheHop(t *testing.T) {
	const size = 300_000
	for _, length := range []int64{size, -1} {
		for _, point := range []int{0, 1, 1000, 32 << 10, 100_000, size - 1, size} {
			t.Run(fmt.Sprintf("length %d point %d", length, point), func(t *testing.T) {
				gm := NewWithT(t)
				whole := point == size && length > 0
				pe := hop(t, func(context.Context, *inner.Call) (*dispatch.Answer, error) {
					body := io.Reader(strings.NewReader(strings.Repeat("x", point)))
					if !whole {
						body = io.MultiReader(body, cut{})
					}
					return &dispatch.Answer{Status: 200, Header: http.Header{}, Length: length, Body: io.NopCloser(body)}, nil
				})
				got := 0
				an, err := pe.Forward(t.Context(), call("1"))
				if err == nil {
					var text []byte
					text, err = io.ReadAll(an.Body)
					got = len(text)
					_ = an.Body.Close()
				}
				if whole {
					gm.Expect(err).NotTo(HaveOccurred())
					gm.Expect(got).To(Equal(size))
					return
				}
				gm.Expect(err).To(HaveOccurred())
				gm.Expect(errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)).To(BeFalse())
				gm.Expect(got).To(BeNumerically("<=", point))
			})
		}
	}
}

type cut struct{}

func (cut) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Answers that come in reverse order, all but the last over one connection,
// reach each its own call; one that was given up disturbs no other.
func TestAnswersOutOfOrderReachTheirOwnCalls(t *testing.T) {
	gm := NewWithT(t)
	const calls = 20
	given, giveUp := context.WithCancel(t.Context())
	defer giveUp()
	var turns [calls + 1]chan struct{}
	for ix := range turns {
		turns[ix] = make(chan struct{})
	}
	pe := hop(t, func(_ context.Context, ca *inner.Call) (*dispatch.Answer, error) {
		var number int
		_, _ = fmt.Sscanf(ca.Path, "/orders/%d", &number)
		if number == calls/2 {
			giveUp()
		}
		select {
		case <-turns[number+1]:
		case <-time.After(10 * time.Second):
		}
		close(turns[number])
		return &dispatch.Answer{Status: 200, Header: http.Header{}, Length: int64(len(ca.Path)), Body: io.NopCloser(strings.NewReader(ca.Path))}, nil
	})
	var wg sync.WaitGroup
	var texts [calls]string
	var errs [calls]error
	for ix := range calls {
		wg.Go(func() {
			ctx := t.Context()
			if ix == calls/2 {
				ctx = given
			}
			an, err := pe.Forward(ctx, call(fmt.Sprint(ix)))
			errs[ix] = err
			if err == nil {
				text, _ := io.ReadAll(an.Body)
				texts[ix] = string(text)
				_ = an.Body.Close()
			}
		})
	}
	time.AfterFunc(50*time.Millisecond, func() { close(turns[calls]) })
	wg.Wait()
	for ix := range calls {
		if ix == calls/2 {
			gm.Expect(verdict.Of(errs[ix])).To(Equal(verdict.MayHaveRun))
			continue
		}
		gm.Expect(errs[ix]).NotTo(HaveOccurred())
		gm.Expect(texts[ix]).To(Equal(fmt.Sprintf("/orders/%d", ix)))
	}
}

func TestVerdictOfABrokenHop(t *testing.T) {
	cases := map[string]struct {
		serve   func(ctx context.Context, ca *inner.Call) (*dispatch.Answer, error)
		address string
		want    verdict.Verdict
	}{
		"nobody listens":   {address: "127.0.0.1:1", want: verdict.NotRun},
		"holder gives up":  {serve: func(context.Context, *inner.Call) (*dispatch.Answer, error) { panic(http.ErrAbortHandler) }, want: verdict.MayHaveRun},
		"holder's refusal": {serve: func(context.Context, *inner.Call) (*dispatch.Answer, error) { return nil, verdict.Refuse(421, "no", 0) }, want: verdict.NotRun},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			pe := inner.NewPeer(cs.address)
			if cs.serve != nil {
				pe = hop(t, cs.serve)
			}
			_, err := pe.Forward(t.Context(), call("1"))
			gm.Expect(err).To(HaveOccurred())
			gm.Expect(verdict.Of(err)).To(Equal(cs.want))
		})
	}
}
