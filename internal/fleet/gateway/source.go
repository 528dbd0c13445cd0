package gateway

import (
	"context"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/operations/acceptance"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/platform"
)

// stateSource is where the desired state comes from.
type stateSource interface {
	// table returns the store table whose rows hold it.
	table() string
	// decode decodes all rows of the table. It returns what can be decoded, with
	// decodeErr naming what is malformed or not validly signed; err means that the
	// read must be repeated.
	decode(rows []platform.Row) (state platform.OperatorState, decodeErr, err error)
}

// operatorRows is the desired state that the platform's operators write.
type operatorRows struct{}

func (operatorRows) table() string { return platform.OperatorTable }

func (operatorRows) decode(rows []platform.Row) (state platform.OperatorState, decodeErr, err error) {
	state, decodeErr = platform.DecodeOperatorState(rows)
	return state, decodeErr, nil
}

// signedBundles is the desired state from bundles that chervilwalk's own
// operators sign and accept.
type signedBundles struct {
	bundles acceptance.Repository
	log     *eventlog.Log
	trust   bundle.Trust
	// current is the state of the bundle in force.
	current platform.OperatorState
}

func (sb *signedBundles) table() string { return acceptance.Table }

func (sb *signedBundles) decode(rows []platform.Row) (state platform.OperatorState, decodeErr, err error) {
	for _, rw := range rows {
		if rw.Key != bundle.RowKey {
			continue
		}
		pt, err := bundle.DecodePointer(rw.Value)
		if err != nil {
			return sb.current, err, nil
		}
		if pt.Version <= sb.trust.After {
			return sb.current, nil, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		sl, err := sb.bundles.Body(ctx, pt)
		cancel()
		if err != nil {
			return sb.current, nil, err
		}
		decodeErr = sb.apply(sl)
		return sb.current, decodeErr, nil
	}
	return sb.current, nil, nil
}

// apply puts a signed bundle in force if one of the trusted keys signed it.
func (sb *signedBundles) apply(sl bundle.Seal) error {
	bn, err := bundle.Open(sl, sb.trust)
	if err != nil {
		return err
	}
	st, err := bundle.State(bn)
	if err != nil {
		return err
	}
	sb.trust = bundle.TrustOf(bn)
	sb.current = platform.OperatorState{Desired: st, Evacuated: bundle.Evacuated(bn)}
	sb.log.Event("bundleOpened", eventlog.Fields{"version": bn.Version, "signedWith": sl.Key})
	return nil
}

// checkHostListed logs an event if a bundle lists hosts, but not this one.
func (gw *Gateway) checkHostListed(hosts map[ident.Host]bool) {
	if _, known := hosts[gw.self.Host]; hosts != nil && !known {
		gw.config.Log.Event("hostNotInBundle", eventlog.Fields{"version": gw.desiredVersion()})
	}
}
