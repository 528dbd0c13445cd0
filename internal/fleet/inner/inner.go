// Package inner is the protocol between the nodes of a fleet: a caller's
// request forwarded to the holder of its pool, and control messages.
//
//	pe := inner.NewPeer("127.0.0.1:7301")
//	an, err := pe.Forward(ctx, call)
package inner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner/innerpb"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/serving/dispatch"
)

const (
	// dialTimeout bounds the making of a connection to another node.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout bounds how long a connection to a node is kept without calls.
	idleTimeout = 90 * time.Second
)

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
	// Elsewhere means that another pool may take the call if this one is full.
	Elsewhere bool
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
	mx.Handle("POST "+forwardPath, &forwardHandler{service: sv})
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
	// packed is the client for bodies worth compressing.
	packed     innerpb.InnerClient
	http       *http.Client
	talk       *talk
	forwardURL string
}

// NewPeer makes the way to a node's inner IP and port.
func NewPeer(address string) *Peer {
	hc := &http.Client{Transport: &http.Transport{
		Protocols:          protocols(),
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		DisableCompression: true,
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:    idleTimeout,
	}}
	// Compression costs more processor time than all the rest of a short call.
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	client := innerpb.NewInnerClient(hc, "http://"+address, plain)
	return &Peer{
		client: client, packed: innerpb.NewInnerClient(hc, "http://"+address), http: hc,
		talk: newTalk(client), forwardURL: "http://" + address + forwardPath,
	}
}

// neverSent tells whether the connection to a node was never made, so that no
// byte of a call was sent.
func neverSent(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// Close ends the conversation, waits for its task and drops the idle
// connections.
func (pe *Peer) Close() {
	pe.talk.close()
	pe.http.CloseIdleConnections()
}

// Bar asks the holder to forbid the dispatch of a call.
func (pe *Peer) Bar(ctx context.Context, pl ident.Pool, id ident.Request) (bool, error) {
	rs, err := pe.client.Bar(ctx, connect.NewRequest(&innerpb.BarRequest{Id: string(id), Pool: string(pl)}))
	if err != nil {
		return false, err
	}
	return rs.Msg.GetBarred(), nil
}
