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
	"time"

	"connectrpc.com/connect"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner/innerpb"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/serving/dispatch"
)

const (
	// dialTimeout bounds the making of a connection to another node.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout bounds how long a connection to a node is kept without calls.
	idleTimeout = 90 * time.Second
	// retryAfterHop is what a caller is told whose pool's holder is away.
	retryAfterHop = time.Second
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
	// Notice says that a peer has a bundle of this version.
	Notice(from ident.Host, vs bundle.Version)
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
	mx.Handle(innerpb.NewInnerHandler(&handler{service: sv}))
	return &http.Server{Handler: mx, Protocols: protocols(), ReadHeaderTimeout: 5 * time.Second}
}

// handler maps the generated interface to Service.
type handler struct {
	service Service
}

// Bar answers whether a request was kept from its dispatch.
func (hn *handler) Bar(ctx context.Context, rq *connect.Request[innerpb.BarRequest]) (*connect.Response[innerpb.BarReply], error) {
	barred := hn.service.Bar(ctx, ident.Pool(rq.Msg.GetPool()), ident.Request(rq.Msg.GetId()))
	return connect.NewResponse(&innerpb.BarReply{Barred: barred}), nil
}

// Tell takes one control message.
func (hn *handler) Tell(_ context.Context, rq *connect.Request[innerpb.Envelope]) (*connect.Response[innerpb.TellReply], error) {
	if nt := rq.Msg.GetBundleNotice(); nt != nil {
		hn.service.Notice(ident.Host(rq.Msg.GetFrom()), bundle.Version(nt.GetVersion()))
	}
	return connect.NewResponse(&innerpb.TellReply{}), nil
}

// FetchBundle returns the signed bundle in force.
func (hn *handler) FetchBundle(context.Context, *connect.Request[innerpb.FetchBundleRequest]) (*connect.Response[innerpb.FetchBundleReply], error) {
	sl, ok := hn.service.Seal()
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("this node has no bundle yet"))
	}
	return connect.NewResponse(&innerpb.FetchBundleReply{
		Body: sl.Body, Signature: sl.Signature, Key: sl.Key, Version: uint64(sl.Version),
	}), nil
}

// Peer is the way to one other node.
type Peer struct {
	client     innerpb.InnerClient
	http       *http.Client
	forwardURL string
}

// NewPeer makes the way to a node's inner IP and port.
func NewPeer(address string) *Peer {
	hc := &http.Client{Transport: &http.Transport{
		Protocols:          protocols(),
		DisableCompression: true,
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:    idleTimeout,
	}}
	// Compression costs more processor time than all the rest of the hop.
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	return &Peer{
		client:     innerpb.NewInnerClient(hc, "http://"+address, plain),
		http:       hc,
		forwardURL: "http://" + address + forwardPath,
	}
}

// neverSent tells whether the connection to a node was never made, so that no
// byte of a call was sent.
func neverSent(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// Close drops the idle connections.
func (pe *Peer) Close() {
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

// Notice tells the peer of the bundle in force here.
func (pe *Peer) Notice(ctx context.Context, from ident.Host, vs bundle.Version) error {
	_, err := pe.client.Tell(ctx, connect.NewRequest(&innerpb.Envelope{
		From: string(from),
		Body: &innerpb.Envelope_BundleNotice{BundleNotice: &innerpb.BundleNotice{Version: uint64(vs)}},
	}))
	return err
}

// FetchBundle returns the peer's signed bundle; the caller checks the seal.
func (pe *Peer) FetchBundle(ctx context.Context) (bundle.Seal, error) {
	rs, err := pe.client.FetchBundle(ctx, connect.NewRequest(&innerpb.FetchBundleRequest{}))
	if err != nil {
		return bundle.Seal{}, err
	}
	return bundle.Seal{
		Version: bundle.Version(rs.Msg.GetVersion()), Key: rs.Msg.GetKey(),
		Signature: rs.Msg.GetSignature(), Body: rs.Msg.GetBody(),
	}, nil
}
