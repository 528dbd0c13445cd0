package trial

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/ident"
)

// Restart stops a host's node as planned and starts a new one at the same
// inner address and a new callers' address.
func (fl *Fleet) Restart(ctx context.Context, name ident.Host) error {
	ho, ok := fl.Bundle.Host(name)
	if !ok {
		return eris.Errorf("trial: no host %s", name)
	}
	if err := fl.Nodes[name].Close(ctx); err != nil {
		return err
	}
	ls, err := net.Listen("tcp", ho.Inner)
	if err != nil {
		return eris.Wrap(err, "trial: restart")
	}
	return fl.startNode(ho, ls)
}
