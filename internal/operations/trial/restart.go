package trial

import (
	"context"

	"chervilwalk/internal/fleet/ident"
)

// Restart stops a host's node as planned and starts a new one at the same
// inner address and a new callers' address.
func (fl *Fleet) Restart(ctx context.Context, name ident.Host) error {
	if err := fl.StopNode(ctx, name); err != nil {
		return err
	}
	return fl.StartNode(name)
}
