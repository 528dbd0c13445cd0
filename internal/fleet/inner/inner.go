// Package inner is the protocol between the nodes of a fleet: a caller's
// request forwarded to the holder of its pool, and control messages.
//
//	pe := inner.NewPeer("127.0.0.1:7301")
//	an, err := pe.Forward(ctx, call)
package inner

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner/innerpb"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/verdict"
)

// chunkBytes is the size of the pieces in which a body crosses the hop.
const chunkBytes = 32 << 10

const (
	// pingAfter is how long a connection may be silent before it is tried.
	pingAfter = time.Second
	// pingTimeout is how long the other side may take to show that it is
	// there. A host that vanished without a word is given up after both, so
	// that nothing waits on a dead connection once the host is back.
	pingTimeout = 500 * time.Millisecond
)

// UpstreamHeader names to the caller the upstream that answered.
const UpstreamHeader = "Chervilwalk-Upstream"

// Call is one request on its way to the holder of its pool.
type Call struct {
	ID         ident.Request
	Pool       ident.Pool
	Service    ident.Service
	Key        ident.Key
	Slice      ident.Slice
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	// Deadline is on the process's own clock; the time left crosses the wire.
	Deadline time.Time
}

// Service is what a node offers to its peers.
type Service interface {
	// Serve runs a call on a pool that this node holds.
	Serve(ctx context.Context, ca *Call) (*dispatch.Answer, error)
	// Bar forbids the dispatch of a queued call; true proves that it was not
	// and will not be dispatched.
	Bar(ctx context.Context, pl ident.Pool, id ident.Request) bool
	// Notice takes what a peer has and returns what this node has.
	Notice(from ident.Host, nt Notice) Notice
	// Hear takes a peer's notice on ownership.
	Hear(from ident.Host, notice exchange.Notice)
	// Seal returns the signed bundle in force.
	Seal() (bundle.Seal, bool)
}

// protocols lets HTTP/2 run without TLS.
func protocols() *http.Protocols {
	pr := &http.Protocols{}
	pr.SetUnencryptedHTTP2(true)
	return pr
}

// NewServer builds the HTTP server of the inner protocol; the caller gives it
// a listener.
func NewServer(sv Service) *http.Server {
	mx := http.NewServeMux()
	hn := &handler{service: sv, closing: make(chan struct{})}
	mx.Handle(innerpb.NewInnerHandler(hn))
	server := &http.Server{Handler: mx, Protocols: protocols(), ReadHeaderTimeout: 5 * time.Second}
	server.RegisterOnShutdown(sync.OnceFunc(func() { close(hn.closing) }))
	return server
}

// handler maps the generated interface to Service.
type handler struct {
	service Service
	// closing ends the conversations, which would hold up a planned stop.
	closing chan struct{}
}

// Forward serves one call and streams its answer; the stream ends with an End.
func (hn *handler) Forward(ctx context.Context, rq *connect.Request[innerpb.ForwardRequest], st *connect.ServerStream[innerpb.ForwardReply]) error {
	answer, err := hn.service.Serve(ctx, decodeCall(rq.Msg))
	if err != nil {
		return st.Send(endOf(err))
	}
	defer func() { _ = answer.Body.Close() }()
	if err := st.Send(headOf(answer)); err != nil {
		return err
	}
	buffer := make([]byte, chunkBytes)
	for {
		count, err := answer.Body.Read(buffer)
		if count > 0 {
			part := &innerpb.ForwardReply{Part: &innerpb.ForwardReply_Chunk{Chunk: buffer[:count]}}
			if err := st.Send(part); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return st.Send(&innerpb.ForwardReply{Part: &innerpb.ForwardReply_End{End: &innerpb.End{Verdict: int32(verdict.Ran)}}})
		}
		if err != nil {
			return st.Send(endOf(verdict.Doubt(http.StatusBadGateway, "the upstream cut its answer")))
		}
	}
}

// Bar answers whether a request was kept from its dispatch.
func (hn *handler) Bar(ctx context.Context, rq *connect.Request[innerpb.BarRequest]) (*connect.Response[innerpb.BarReply], error) {
	barred := hn.service.Bar(ctx, ident.Pool(rq.Msg.GetPool()), ident.Request(rq.Msg.GetId()))
	return connect.NewResponse(&innerpb.BarReply{Barred: barred}), nil
}

// Tell takes one control message.
func (hn *handler) Tell(_ context.Context, rq *connect.Request[innerpb.Envelope]) (*connect.Response[innerpb.TellReply], error) {
	reply := &innerpb.TellReply{}
	if nt := rq.Msg.GetBundleNotice(); nt != nil {
		reply.BundleNotice = encodeNotice(hn.service.Notice(ident.Host(rq.Msg.GetFrom()), decodeNotice(nt)))
	}
	hn.hear(rq.Msg)
	return connect.NewResponse(reply), nil
}

// hear hands a notice on ownership to the node.
func (hn *handler) hear(en *innerpb.Envelope) {
	if notice, ok := DecodeNotice(en); ok {
		hn.service.Hear(ident.Host(en.GetFrom()), notice)
	}
}

// Peer is the way to one other node.
type Peer struct {
	client innerpb.InnerClient
	http   *http.Client
	talk   *talk
}

// NewPeer makes the way to a node's inner IP and port.
func NewPeer(address string) *Peer {
	hc := &http.Client{Transport: &http.Transport{
		Protocols: protocols(),
		HTTP2:     &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
	// Compression costs more processor time than all the rest of the hop.
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	client := innerpb.NewInnerClient(hc, "http://"+address, plain)
	return &Peer{client: client, http: hc, talk: newTalk(client)}
}

// Close ends the conversation, waits for its task and drops the idle
// connections.
func (pe *Peer) Close() {
	pe.talk.close()
	pe.http.CloseIdleConnections()
}

// Forward runs a call at the holder. A broken hop is a *verdict.Error that says
// "may have run"; the caller may Bar the id to learn more.
func (pe *Peer) Forward(ctx context.Context, ca *Call) (*dispatch.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	st, err := pe.client.Forward(ctx, connect.NewRequest(encodeCall(ca)))
	if err != nil {
		cancel()
		return nil, hopBroken()
	}
	if !st.Receive() {
		cancel()
		_ = st.Close()
		return nil, hopBroken()
	}
	switch part := st.Msg().GetPart().(type) {
	case *innerpb.ForwardReply_Head:
		return answerOf(part.Head, &streamBody{stream: st, cancel: cancel}), nil
	case *innerpb.ForwardReply_End:
		cancel()
		_ = st.Close()
		return nil, errorOf(part.End)
	default:
		cancel()
		_ = st.Close()
		return nil, hopBroken()
	}
}

// Bar asks the holder to forbid the dispatch of a call.
func (pe *Peer) Bar(ctx context.Context, pl ident.Pool, id ident.Request) (bool, error) {
	rs, err := pe.client.Bar(ctx, connect.NewRequest(&innerpb.BarRequest{Id: string(id), Pool: string(pl)}))
	if err != nil {
		return false, err
	}
	return rs.Msg.GetBarred(), nil
}

// hopBroken is the error of a call whose fate at the holder is not known.
func hopBroken() error {
	return verdict.Doubt(http.StatusBadGateway, "the way to the pool's holder broke")
}

// streamBody reads a body off the stream; only an End without failure is EOF.
type streamBody struct {
	stream *connect.ServerStreamForClient[innerpb.ForwardReply]
	cancel context.CancelFunc
	rest   []byte
	ended  bool
}

// Read reads on; a stream that ends without a clean End was cut.
func (sb *streamBody) Read(buffer []byte) (int, error) {
	for len(sb.rest) == 0 {
		if sb.ended {
			return 0, io.EOF
		}
		if !sb.stream.Receive() {
			return 0, io.ErrUnexpectedEOF
		}
		switch part := sb.stream.Msg().GetPart().(type) {
		case *innerpb.ForwardReply_Chunk:
			sb.rest = part.Chunk
		case *innerpb.ForwardReply_End:
			if part.End.GetFailed() {
				return 0, io.ErrUnexpectedEOF
			}
			sb.ended = true
		}
	}
	count := copy(buffer, sb.rest)
	sb.rest = sb.rest[count:]
	return count, nil
}

// Close ends the stream; before the End it cancels the call.
func (sb *streamBody) Close() error {
	sb.cancel()
	return sb.stream.Close()
}
