package deployment

import (
	"net/netip"

	"chervilwalk/internal/fleet/gateway"
	"chervilwalk/internal/stand/faultproxy"
)

// cuttableSocket loses all datagrams while its host is cut off, and those that its host's build
// does not know.
type cuttableSocket struct {
	gateway.PeerSocket
	host *Host
}

// ReadFromUDPAddrPort implements gateway.PeerSocket.
func (cs *cuttableSocket) ReadFromUDPAddrPort(buf []byte) (int, netip.AddrPort, error) {
	for {
		count, from, err := cs.PeerSocket.ReadFromUDPAddrPort(buf)
		if err != nil || !cs.loses(buf[:count]) {
			return count, from, err
		}
	}
}

// WriteToUDPAddrPort implements gateway.PeerSocket.
func (cs *cuttableSocket) WriteToUDPAddrPort(datagram []byte, to netip.AddrPort) (int, error) {
	if cs.loses(datagram) {
		return len(datagram), nil
	}
	return cs.PeerSocket.WriteToUDPAddrPort(datagram, to)
}

func (cs *cuttableSocket) loses(datagram []byte) bool {
	unknown := cs.host.unknown.Load()
	return cs.host.isCutOff.Load() || unknown != nil && (*unknown)(datagram)
}

// MakeOld makes a host behave like one of an earlier build, as far as other hosts see it: it
// neither gets nor sends the datagrams that are unknown to that build. Callers no longer choose it.
func (host *Host) MakeOld(unknown func(datagram []byte) bool) {
	host.unknown.Store(&unknown)
	host.outOfRotation.Store(true)
}

// CutOff separates a host from the other hosts and from the store, or ends that. Callers
// and upstreams still reach it. It needs proxies and hosts in this process.
func (dp *Deployment) CutOff(host *Host, cut bool) {
	host.isCutOff.Store(cut)
	for _, px := range dp.Proxies() {
		if px.Name == host.Name {
			px.SetFaults(faultproxy.Faults{DropRequests: cut, DropAnswers: cut})
		}
	}
}
