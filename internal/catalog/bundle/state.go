package bundle

import (
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/desired"
)

const (
	// attempts bounds the upstreams that one request is sent to.
	attempts = 2
	// Limits on callers that a bundle does not state.
	headerBytes   = 16 << 10
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
)

// State is the desired state that a bundle asks for. Upstreams of a domain that
// is out are not named as such: the domain is evacuated as a whole.
func State(bn *Bundle) (*desired.State, error) {
	lm := desired.Limits{HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	var services []desired.Service
	var routes []desired.Route
	upstreams, hosts := map[ident.Upstream]bool{}, map[ident.Host]bool{}
	for _, sv := range bn.Services {
		lm.BodyBytes = max(lm.BodyBytes, sv.MaxBodyBytes)
		services = append(services, serviceOf(&sv))
		routes = append(routes, routeOf(&sv))
		for _, up := range sv.Upstreams {
			upstreams[up.Name] = !up.Out
		}
	}
	for _, ho := range Effective(bn).Hosts {
		hosts[ho.Name] = !ho.Out
	}
	return desired.New(desired.Version(bn.Version), lm, services, routes, desired.WithUpstreams(upstreams), desired.WithHosts(hosts))
}

// Evacuated are the failure domains that are out.
func Evacuated(bn *Bundle) map[ident.Domain]bool {
	out := map[ident.Domain]bool{}
	for _, dm := range bn.Domains {
		if dm.Out {
			out[dm.Name] = true
		}
	}
	return out
}

// serviceOf takes the lowest limits of the service's upstreams.
func serviceOf(sv *Service) desired.Service {
	ds := desired.Service{Name: sv.Name, Keyed: sv.Keyed, Key: sv.Key}
	for ix, up := range sv.Upstreams {
		if ix == 0 || up.Connections < ds.Connections {
			ds.Connections = up.Connections
		}
		if rate := float64(up.ColdPerSecond); ix == 0 || rate < ds.ColdRate {
			ds.ColdRate = rate
		}
	}
	return ds
}

func routeOf(sv *Service) desired.Route {
	objective := sv.Objective
	if objective == 0 {
		objective = sv.DefaultTimeout
	}
	methods := sv.IdempotentMethods
	if methods == nil {
		methods = []string{}
	}
	return desired.Route{
		Name: string(sv.Name), Host: desired.AnyHost, Prefix: "/" + string(sv.Name) + "/", Kind: desired.Idempotent, Methods: methods,
		Timeout: sv.MaxTimeout, DefaultTimeout: sv.DefaultTimeout, Objective: objective, Attempts: attempts,
		BodyBytes: int64(sv.MaxBodyBytes), Destinations: []desired.Destination{{Service: sv.Name, Weight: 1}},
	}
}
