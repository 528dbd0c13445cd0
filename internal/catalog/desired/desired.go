// Package desired holds what the operators want in force: services, routes and
// limits, as one versioned state that is replaced as a whole.
//
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

// Version orders states; a host only ever moves to a higher one.
type Version uint64

// Kind says how often a request may run.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Download requests are idempotent and have large answers.
	Download
)

// String is the kind's name in logs.
func (kd Kind) String() string {
	return [...]string{"idempotent", "nonIdempotent", "download"}[kd]
}

// Repeatable tells whether a request of this kind may run more than once.
func (kd Kind) Repeatable() bool { return kd != NonIdempotent }

// KeySource says where a request carries its key.
type KeySource string

const (
	// KeyInPath takes the path segment after the service's name.
	KeyInPath KeySource = "path"
	// KeyInQuery takes the query parameter "key".
	KeyInQuery KeySource = "query"
	// KeyInHeader takes a header field.
	KeyInHeader KeySource = "header"
)

// Part is a service's share of a route's requests.
type Part struct {
	Service ident.Service
	Weight  int
}

// AnyHost is the Host of a route that serves all names.
const AnyHost = ""

// Route says where the requests under a prefix go and what they are due.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is of full use.
	Objective time.Duration
	// Priority is the route's rank; 0 is the highest.
	Priority int
	// Attempts bounds the upstreams that one request is sent to.
	Attempts int
	// Methods may run more than once where the kind leaves it to the method;
	// nil where the kind alone decides.
	Methods []string
	// DefaultTimeout is a request's time when its caller states none; zero
	// means Timeout.
	DefaultTimeout time.Duration
	// BodyBytes bounds a request's body; zero leaves that to the limits.
	BodyBytes int64
	Parts     []Part
}

// Repeatable tells whether a request of this method may run more than once.
func (rt *Route) Repeatable(method string) bool {
	return rt.Kind.Repeatable() && (rt.Methods == nil || slices.Contains(rt.Methods, method))
}

// Service is a set of upstreams that answer the same requests.
type Service struct {
	Name ident.Service
	// Connections bounds an upstream's connections from all hosts together.
	Connections int
	// ColdRate is how many requests a second a cold upstream can take.
	ColdRate float64
	// ColdTime is how long an upstream stays cold after its start.
	ColdTime time.Duration
	// Keyed services run a request only at the owner of its key.
	Keyed bool
	// Key is where callers put the key.
	Key KeySource
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// State is one version of what the operators want. It is never changed.
type State struct {
	Version  Version
	Limits   Limits
	Services map[ident.Service]Service
	// Upstreams tells which of the upstreams that may serve are in service; nil
	// where all that are listed may.
	Upstreams map[ident.Upstream]bool
	// Hosts tells which hosts are in service; nil where all are.
	Hosts map[ident.Host]bool
	// routes are each host's routes, the longest prefix first.
	routes map[string][]*Route
}

// Option adds what only some states say.
type Option func(*State)

// WithUpstreams names the upstreams that may serve and whether they are in service.
func WithUpstreams(upstreams map[ident.Upstream]bool) Option {
	return func(st *State) { st.Upstreams = upstreams }
}

// WithHosts names the hosts and whether they are in service.
func WithHosts(hosts map[ident.Host]bool) Option {
	return func(st *State) { st.Hosts = hosts }
}

// New builds a state and checks that each route leads to a known service.
func New(vs Version, lm Limits, services []Service, routes []Route, opts ...Option) (*State, error) {
	st := &State{Version: vs, Limits: lm, Services: map[ident.Service]Service{}, routes: map[string][]*Route{}}
	for _, opt := range opts {
		opt(st)
	}
	for _, sv := range services {
		st.Services[sv.Name] = sv
	}
	for _, rt := range routes {
		if err := st.add(rt); err != nil {
			return nil, err
		}
	}
	for _, list := range st.routes {
		slices.SortStableFunc(list, func(left, right *Route) int { return len(right.Prefix) - len(left.Prefix) })
	}
	return st, nil
}

func (st *State) add(rt Route) error {
	if len(rt.Parts) == 0 {
		return fmt.Errorf("route %q leads to no service", rt.Name)
	}
	for _, pt := range rt.Parts {
		if _, ok := st.Services[pt.Service]; !ok {
			return fmt.Errorf("route %q leads to the unknown service %q", rt.Name, pt.Service)
		}
	}
	st.routes[rt.Host] = append(st.routes[rt.Host], &rt)
	return nil
}

// Lookup finds the route with the longest prefix of the path.
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

// InService tells whether a host is to take callers.
func (st *State) InService(host ident.Host) bool {
	in, known := st.Hosts[host]
	return st.Hosts == nil || in || !known
}

// Routes counts the routes of all hosts.
func (st *State) Routes() int {
	count := 0
	for _, list := range st.routes {
		count += len(list)
	}
	return count
}
