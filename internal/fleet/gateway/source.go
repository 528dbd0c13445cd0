package gateway

import (
	"context"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/operations/acceptance"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/platform"
)

// source is where the desired state comes from.
type source interface {
	// table is the store's table whose rows hold it.
	table() string
	// decode reads all rows of the table. What cannot be read comes back as the
	// problem beside the rest; an error means that it should be tried again.
	decode(rows []platform.Row) (state platform.OperatorState, problem, err error)
}

// operatorRows are what the platform's operators write.
type operatorRows struct{}

func (operatorRows) table() string { return platform.OperatorTable }

func (operatorRows) decode(rows []platform.Row) (state platform.OperatorState, problem, err error) {
	state, problem = platform.DecodeOperatorState(rows)
	return state, problem, nil
}

// signedBundles are what chervilwalk's own operators sign and accept.
type signedBundles struct {
	shelf acceptance.Repository
	jl    *eventlog.Log
	trust bundle.Trust
	// last is the state of the bundle in force.
	last platform.OperatorState
}

func (sb *signedBundles) table() string { return acceptance.Table }

func (sb *signedBundles) decode(rows []platform.Row) (state platform.OperatorState, problem, err error) {
	for _, rw := range rows {
		if rw.Key != bundle.RowKey {
			continue
		}
		pt, err := bundle.DecodePointer(rw.Value)
		if err != nil {
			return sb.last, err, nil
		}
		if pt.Version <= sb.trust.After {
			return sb.last, nil, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), readTime)
		sl, err := sb.shelf.Body(ctx, pt)
		cancel()
		if err != nil {
			return sb.last, nil, err
		}
		problem = sb.open(sl)
		return sb.last, problem, nil
	}
	return sb.last, nil, nil
}

// open puts a sealed bundle in force if a trusted key signed it.
func (sb *signedBundles) open(sl bundle.Seal) error {
	bn, err := bundle.Open(sl, sb.trust)
	if err != nil {
		return err
	}
	st, err := bundle.State(bn)
	if err != nil {
		return err
	}
	sb.trust = bundle.TrustOf(bn)
	sb.last = platform.OperatorState{Desired: st, Evacuated: bundle.Evacuated(bn)}
	sb.jl.Event("bundleOpened", eventlog.Fields{"version": bn.Version, "signedWith": sl.Key})
	return nil
}

// checkHost names what a bundle says otherwise than this host's settings.
func (gw *Gateway) checkHost(hosts map[ident.Host]bool) {
	if _, known := hosts[gw.self.Host]; hosts != nil && !known {
		gw.cf.Journal.Event("hostNotInBundle", eventlog.Fields{"version": gw.version()})
	}
}
