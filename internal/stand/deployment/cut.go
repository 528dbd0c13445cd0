package deployment

import (
	"net/netip"

	"chervilwalk/internal/fleet/gateway"
	"chervilwalk/internal/stand/faultproxy"
)

// cuttableSocket loses all datagrams while its host is cut off.
type cuttableSocket struct {
	gateway.PeerSocket
	host *Host
}

// ReadFromUDPAddrPort implements gateway.PeerSocket.
func (cs *cuttableSocket) ReadFromUDPAddrPort(buf []byte) (int, netip.AddrPort, error) {
	for {
		count, from, err := cs.PeerSocket.ReadFromUDPAddrPort(buf)
		if err != nil || !cs.host.isCutOff.Load() {
			return count, from, err
		}
	}
}

// WriteToUDPAddrPort implements gateway.PeerSocket.
func (cs *cuttableSocket) WriteToUDPAddrPort(datagram []byte, to netip.AddrPort) (int, error) {
	if cs.host.isCutOff.Load() {
		return len(datagram), nil
	}
	return cs.PeerSocket.WriteToUDPAddrPort(datagram, to)
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
