// Package desired holds the desired state that the operators publish: services,
// routes and limits as one immutable version, which is replaced as a whole.
//
//	st, err := desired.New(7, limits, services, routes)
//	rt, ok := st.Lookup("shop.example", "/lookup/4711")
//	if !ok { /* 404 */ }
package desired

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chervilwalk/internal/base/ident"
)

// Version is the version of a desired state. A host applies only higher versions
// than its current one.
type Version uint64

// Kind says whether a route's requests may run more than once.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Download requests are idempotent and have large responses.
	Download
	// Upload requests run at most once and have large bodies.
	Upload
)

// String returns the kind's name in logs.
func (kd Kind) String() string {
	return [...]string{"idempotent", "nonIdempotent", "download", "upload"}[kd]
}

// Repeatable reports whether a request of this kind may run more than once.
func (kd Kind) Repeatable() bool { return kd == Idempotent || kd == Download }

// KeySource is the part of a request that holds its key.
type KeySource string

const (
	// KeyInPath is the path segment after the service's name.
	KeyInPath KeySource = "path"
	// KeyInQuery is the query parameter "key".
	KeyInQuery KeySource = "query"
	// KeyInHeader is the header field Chervilwalk-Key.
	KeyInHeader KeySource = "header"
)

// Destination is a service that gets a fraction of a route's requests: its weight
// divided by the sum of the weights.
type Destination struct {
	Service ident.Service
	Weight  int
}

// AnyHost is the Host of a route that matches every host name.
const AnyHost = ""

// Route says which services get the requests under a path prefix, and how they are
// handled.
type Route struct {
	Name string
	// Host is the virtual host's name or AnyHost.
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until a request is answered.
	Timeout time.Duration
	// Objective is the response time up to which an answer has full value.
	Objective time.Duration
	// Priority is the route's rank; 0 is the highest.
	Priority int
	// Attempts is the maximum number of upstreams that one request is sent to.
	Attempts int
	// Methods lists the methods whose requests may run more than once if the kind
	// allows it; nil means all methods.
	Methods []string
	// DefaultTimeout applies to requests whose caller states no time limit; 0
	// means Timeout.
	DefaultTimeout time.Duration
	// BodyBytes is the maximum size of a request body; 0 means Limits.BodyBytes.
	BodyBytes    int64
	Destinations []Destination
	// Malformed routes could not be read. Their requests are refused: without the
	// route they would go to the services of a shorter prefix.
	Malformed bool
}

// Repeatable reports whether a request with this method may run more than once.
func (rt *Route) Repeatable(method string) bool {
	return rt.Kind.Repeatable() && (rt.Methods == nil || slices.Contains(rt.Methods, method))
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name ident.Service
	// Connections is the maximum number of connections to one upstream from all
	// hosts together.
	Connections int
	// ColdRate is the number of requests per second that a cold upstream can serve.
	ColdRate float64
	// ColdTime is the time that an upstream stays cold after its start.
	ColdTime time.Duration
	// Keyed means that only the owner of a request's key may run the request.
	Keyed bool
	// Key is where callers send the key. It is set only by bundles; otherwise the key
	// is in the platform's header field Shard-Key.
	Key KeySource
}

// Limits bounds the requests of callers: the size of a header and of a body, the
// time to read a header and the time that a connection may be idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// State is one version of the desired state. It is immutable after New.
type State struct {
	Version  Version
	Limits   Limits
	Services map[ident.Service]Service
	// Upstreams holds the allowed upstreams and whether each is in service; nil
	// means that every upstream of the roster is allowed and in service.
	Upstreams map[ident.Upstream]bool
	// Hosts holds whether each host is in service; nil means that all are.
	Hosts map[ident.Host]bool
	// routes holds the routes of each virtual host, longest prefix first.
	routes map[string][]*Route
}

// Option sets an optional field of a new State.
type Option func(*State)

// WithUpstreams sets State.Upstreams.
func WithUpstreams(upstreams map[ident.Upstream]bool) Option {
	return func(st *State) { st.Upstreams = upstreams }
}

// WithHosts sets State.Hosts.
func WithHosts(hosts map[ident.Host]bool) Option {
	return func(st *State) { st.Hosts = hosts }
}

// New builds a state. A route without a service or with an unknown one is an error,
// unless it is marked as malformed.
func New(vs Version, lm Limits, services []Service, routes []Route, opts ...Option) (*State, error) {
	st := &State{Version: vs, Limits: lm, Services: map[ident.Service]Service{}, routes: map[string][]*Route{}}
	for _, opt := range opts {
		opt(st)
	}
	for _, sv := range services {
		st.Services[sv.Name] = sv
	}
	for _, rt := range routes {
		if err := st.addRoute(rt); err != nil {
			return nil, err
		}
	}
	for _, list := range st.routes {
		slices.SortStableFunc(list, func(left, right *Route) int { return len(right.Prefix) - len(left.Prefix) })
	}
	return st, nil
}

// addRoute validates a route and appends it to its virtual host's routes.
func (st *State) addRoute(rt Route) error {
	if rt.Malformed {
		st.routes[rt.Host] = append(st.routes[rt.Host], &rt)
		return nil
	}
	if len(rt.Destinations) == 0 {
		return fmt.Errorf("route %q has no service", rt.Name)
	}
	for _, ds := range rt.Destinations {
		if _, ok := st.Services[ds.Service]; !ok {
			return fmt.Errorf("route %q refers to unknown service %q", rt.Name, ds.Service)
		}
	}
	st.routes[rt.Host] = append(st.routes[rt.Host], &rt)
	return nil
}

// Lookup returns the route of a virtual host whose prefix is the longest match of
// the path, without its query. Routes of AnyHost are tried last.
func (st *State) Lookup(host, path string) (*Route, bool) {
	if ix := strings.IndexByte(path, '?'); ix >= 0 {
		path = path[:ix]
	}
	for _, name := range []string{host, AnyHost} {
		for _, rt := range st.routes[name] {
			if strings.HasPrefix(path, rt.Prefix) {
				return rt, true
			}
		}
	}
	return nil, false
}

// InService reports whether a host may serve callers. Hosts that the state does
// not name may.
func (st *State) InService(host ident.Host) bool {
	in, known := st.Hosts[host]
	return st.Hosts == nil || in || !known
}

// Routes returns the number of routes of all virtual hosts.
func (st *State) Routes() int {
	count := 0
	for _, list := range st.routes {
		count += len(list)
	}
	return count
}
