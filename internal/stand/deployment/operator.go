package deployment

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/operations/acceptance"
	"chervilwalk/internal/operations/keyfile"
	"chervilwalk/platform"
)

const (
	// acceptTimeout is the timeout for accepting a bundle.
	acceptTimeout = 5 * time.Second
	// Objective and limits of every service and upstream in the bundles.
	bundleObjective   = 500 * time.Millisecond
	bundleBodyBytes   = 1 << 20
	bundleConnections = 100
	upstreamSlots     = 2
)

// operator signs and accepts bundles.
type operator struct {
	key     keyfile.Key
	bundles acceptance.Repository
}

// newOperator returns an operator that has accepted a deployment's first bundle.
func newOperator(dp *Deployment) (*operator, error) {
	key, err := keyfile.Generate("ops")
	if err != nil {
		return nil, eris.Wrap(err, "generate the operator's key")
	}
	op := &operator{key: key, bundles: acceptance.NewRepository(platform.NewStore(dp.address, func(string, time.Duration, error) {}))}
	body, err := bundle.Format(dp.firstBundle(key))
	if err != nil {
		return nil, eris.Wrap(err, "format the first bundle")
	}
	return op, op.accept(body)
}

// accept signs and accepts the bundle with the given text.
func (op *operator) accept(body []byte) error {
	bn, err := bundle.Parse("trial", body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	_, err = op.bundles.Accept(ctx, bundle.Sign(bn, body, op.key.Name, op.key.Private))
	return err
}

// Edit applies edits to the accepted bundle and accepts the result.
func (dp *Deployment) Edit(edits ...bundle.Edit) error {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	base, err := dp.operator.bundles.Current(ctx)
	if err != nil {
		return err
	}
	body, err := bundle.ApplyAll(base.Seal.Body, edits)
	if err != nil {
		return err
	}
	return dp.operator.accept(body)
}

// ForgeBundle makes the store's row point at a new bundle that is signed with an
// untrusted key. The key has the same name as the operator's.
func (dp *Deployment) ForgeBundle() error {
	untrusted, err := keyfile.Generate("ops")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	base, err := dp.operator.bundles.Current(ctx)
	if err != nil {
		return err
	}
	next := *base.Bundle
	next.Version++
	body, err := bundle.Format(&next)
	if err != nil {
		return err
	}
	sl := bundle.Sign(&next, body, untrusted.Name, untrusted.Private)
	if err := dp.operator.bundles.Store.Put(ctx, bundle.DigestOf(body), body); err != nil {
		return err
	}
	value, err := bundle.EncodePointer(bundle.PointerOf(sl))
	if err != nil {
		return err
	}
	dp.Store.Put(acceptance.Table, bundle.RowKey, value)
	return nil
}

// changeDesiredState puts a new version of the desired state in force. With
// bundles it takes an upstream out of service.
func (dp *Deployment) changeDesiredState() error {
	if dp.operator == nil {
		dp.Configure(nil)
		return nil
	}
	return dp.Edit(bundle.Edit{Name: "i-files-2", Out: true})
}

// firstBundle returns version 1 of the bundle, with all hosts and upstreams.
func (dp *Deployment) firstBundle(key keyfile.Key) *bundle.Bundle {
	bn := &bundle.Bundle{Version: 1, TrustedKeys: []bundle.TrustedKey{key.Trusted()}}
	for _, zone := range zones[:min(len(zones), dp.cf.Hosts)] {
		bn.Domains = append(bn.Domains, bundle.Domain{Name: ident.Domain(zone), Region: "home"})
	}
	for ix := range dp.cf.Hosts {
		host := dp.hostAt(ix)
		bn.Hosts = append(bn.Hosts, bundle.Host{Name: ident.Host(host.Name), Domain: ident.Domain(host.Zone), Admin: host.IP + adminPort})
	}
	for _, name := range []string{KeyedService, OrderService, FileService} {
		sv := bundle.Service{
			Name: ident.Service(name), Keyed: name == KeyedService, IdempotentMethods: []string{"GET"}, DefaultTimeout: requestTimeout,
			Objective: bundleObjective, MaxTimeout: requestTimeout, MaxBodyBytes: bundleBodyBytes,
		}
		if sv.Keyed {
			sv.Key = desired.KeyInPath
		}
		for _, id := range slices.Sorted(maps.Keys(dp.upstreams)) {
			cf := dp.upstreams[id].Config()
			if cf.Service == name {
				sv.Upstreams = append(sv.Upstreams, bundle.Upstream{
					Name: ident.Upstream(id), Domain: ident.Domain(cf.Zone), Address: cf.Address, Slots: upstreamSlots,
					Connections: bundleConnections, ColdPerSecond: coldRate,
				})
			}
		}
		bn.Services = append(bn.Services, sv)
	}
	return bn
}
