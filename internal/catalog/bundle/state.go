package bundle

import (
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/desired"
)

const (
	// maxAttempts is the largest number of upstreams that one request is sent to.
	maxAttempts = 2
	// Limits on callers that bundles don't configure.
	maxHeaderBytes = 16 << 10
	headerTimeout  = 10 * time.Second
	idleTimeout    = time.Minute
)

// State converts a bundle to the desired state. Upstreams are out of service
// there only if they are marked themselves: Evacuated returns the domains that
// are out, and those are evacuated as a whole.
func State(bn *Bundle) (*desired.State, error) {
	lm := desired.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
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

// Evacuated returns the failure domains that are out of service.
func Evacuated(bn *Bundle) map[ident.Domain]bool {
	out := map[ident.Domain]bool{}
	for _, dm := range bn.Domains {
		if dm.Out {
			out[dm.Name] = true
		}
	}
	return out
}

// serviceOf converts a service. Its limits are the lowest of its upstreams.
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

// routeOf returns the route of a service: all requests under /NAME/.
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
		Timeout: sv.MaxTimeout, DefaultTimeout: sv.DefaultTimeout, Objective: objective, Attempts: maxAttempts,
		BodyBytes: int64(sv.MaxBodyBytes), Destinations: []desired.Destination{{Service: sv.Name, Weight: 1}},
	}
}
