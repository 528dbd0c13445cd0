package inner

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	"chervilwalk/internal/fleet/inner/innerpb"
)

// ErrBusy says that a peer takes control messages slower than they come, so
// that one was dropped.
var ErrBusy = errors.New("inner: the peer's conversation is full")

const (
	// talkQueue is how many control messages wait for a peer at most.
	talkQueue = 64
	// talkStall is how long one control message may take to be written.
	talkStall = 150 * time.Millisecond
	// talkIdle is how long a conversation without a message is kept open.
	talkIdle = 5 * time.Second
)

// conversation is the stream of control messages to one peer.
type conversation = connect.ClientStreamForClient[innerpb.Envelope, innerpb.TellReply]

// talk is the task that owns the conversation with one peer. A conversation
// that breaks is begun anew with the next message.
type talk struct {
	client innerpb.InnerClient
	queue  chan *innerpb.Envelope
	start  sync.Once
	ended  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

func newTalk(client innerpb.InnerClient) *talk {
	ctx, cancel := context.WithCancel(context.Background())
	return &talk{client: client, queue: make(chan *innerpb.Envelope, talkQueue), ctx: ctx, cancel: cancel}
}

// send queues a message; the task starts with the first.
func (tk *talk) send(en *innerpb.Envelope) error {
	tk.start.Do(func() { tk.ended.Go(tk.run) })
	select {
	case tk.queue <- en:
		return nil
	default:
		return ErrBusy
	}
}

func (tk *talk) close() {
	tk.start.Do(func() {})
	tk.cancel()
	tk.ended.Wait()
}

func (tk *talk) run() {
	for {
		select {
		case <-tk.ctx.Done():
			return
		case en := <-tk.queue:
			tk.converse(en)
		}
	}
}

// converse sends messages until the stream breaks or falls idle. What was
// written to a broken stream may be lost, as any notice may be; the message
// that found the stream broken is sent on a new one.
func (tk *talk) converse(first *innerpb.Envelope) {
	for en := first; en != nil && tk.ctx.Err() == nil; {
		en = tk.stream(en)
	}
}

// stream runs one stream. It returns the message that found the stream broken
// after others had gone well.
func (tk *talk) stream(en *innerpb.Envelope) *innerpb.Envelope {
	ctx, cancel := context.WithCancel(tk.ctx)
	defer cancel()
	st := tk.client.Converse(ctx)
	defer func() { _, _ = st.CloseAndReceive() }()
	idle := time.NewTimer(talkIdle)
	defer idle.Stop()
	for sent := 0; ; sent++ {
		if !write(st, en, cancel) {
			cancel()
			return unsent(en, sent)
		}
		idle.Reset(talkIdle)
		select {
		case <-ctx.Done():
			return nil
		case <-idle.C:
			return nil
		case en = <-tk.queue:
		}
	}
}

// unsent returns a message for another try, unless its stream never worked.
func unsent(en *innerpb.Envelope, sent int) *innerpb.Envelope {
	if sent == 0 {
		return nil
	}
	return en
}

// write sends one message; one that takes too long breaks the stream.
func write(st *conversation, en *innerpb.Envelope, cancel context.CancelFunc) bool {
	stall := time.AfterFunc(talkStall, cancel)
	defer stall.Stop()
	return st.Send(en) == nil
}

// Converse hears control messages until the peer ends the stream or this node
// stops.
func (hn *handler) Converse(ctx context.Context, st *connect.ClientStream[innerpb.Envelope]) (*connect.Response[innerpb.TellReply], error) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for st.Receive() {
			hn.hear(st.Msg())
		}
	}()
	select {
	case <-ended:
	case <-hn.closing:
	case <-ctx.Done():
	}
	return connect.NewResponse(&innerpb.TellReply{}), nil
}
