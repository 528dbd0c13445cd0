package deployment

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/fleet/gateway"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/platform"
)

// Host is a host with its gateway.
type Host struct {
	Name string
	// Address is the IP:PORT for callers.
	Address string
	Zone    string
	IP      string
	// file is the path of the settings file.
	file string
	// gateway is nil while the host is stopped.
	gateway hostProcess
	// mu guards gateway where hosts are started and stopped by several goroutines.
	mu      sync.Mutex
	log     *eventlog.Log
	logFile io.WriteCloser
	// outOfRotation means that callers no longer choose this host.
	outOfRotation atomic.Bool
	// isCutOff means that no datagram reaches other hosts or comes from them.
	isCutOff atomic.Bool
	// unknown reports which datagrams the host's build does not know; nil if it knows all.
	unknown atomic.Pointer[func(datagram []byte) bool]
}

// hostProcess is a running gateway, in this process or in one of its own.
type hostProcess interface {
	// Stop stops it gracefully, Close at once.
	Stop()
	Close()
}

// adminPort is the port of a host's metrics, the second of its port range.
const adminPort = ":7541"

// hostAt returns the name, zone and IP of the host with an index.
func (dp *Deployment) hostAt(ix int) *Host {
	return &Host{Name: fmt.Sprintf("front-%d", ix), Zone: zones[ix%len(zones)], IP: dp.ip(1 + ix)}
}

// newHost writes the settings file of the host with an index and returns the host.
func (dp *Deployment) newHost(ix int) (*Host, error) {
	host := dp.hostAt(ix)
	host.Address = host.IP + ":8080"
	host.file = filepath.Join(dp.cf.Dir, host.Name+".yaml")
	store := dp.address
	if dp.cf.Proxies {
		dp.mu.Lock()
		px, err := dp.addProxy(host.Name, dp.address)
		dp.mu.Unlock()
		if err != nil {
			return nil, err
		}
		store = px.Address()
	}
	text := fmt.Sprintf("node: %s\nzone: %s\nip: %s\nlisten:\n  front: %s:8080\n  ready: %s:8081\nport-range: [7540, 7550]\nbounds:\n  - \"drain-s=2\"\n  - \"grace-s=6\"\nplatform:\n  address: %s\n",
		host.Name, host.Zone, host.IP, host.IP, host.IP, store)
	return host, eris.Wrap(os.WriteFile(host.file, []byte(text), 0o600), "write settings file")
}

// nopCloser is a writer that the host must not close.
type nopCloser struct{ io.Writer }

func (nopCloser) Close() error { return nil }

// StartHost starts or restarts a host's gateway.
func (dp *Deployment) StartHost(host *Host) error {
	host.mu.Lock()
	defer host.mu.Unlock()
	if host.gateway != nil {
		return nil
	}
	st, err := platform.LoadSettings(host.file)
	if err != nil {
		return err
	}
	host.outOfRotation.Store(false)
	host.logFile = nopCloser{dp.cf.Log}
	if dp.cf.Log == nil {
		file, err := os.OpenFile(filepath.Join(dp.cf.Dir, host.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return eris.Wrap(err, "open log file")
		}
		host.logFile = file
	}
	if dp.cf.Program != "" {
		if host.gateway, err = startProcess(dp.cf.Program, host.file, host.logFile); err != nil {
			host.gateway = nil
		}
		return err
	}
	host.log = eventlog.New(host.logFile, host.Name)
	gc := gateway.Config{Settings: st, Log: host.log, Metrics: gateway.NewMetrics(), WrapSocket: func(ps gateway.PeerSocket) gateway.PeerSocket {
		return &cuttableSocket{ps, host}
	}}
	if dp.operator != nil {
		gc.Trusted = []bundle.TrustedKey{dp.operator.key.Trusted()}
	}
	gw, err := gateway.Start(gc)
	if err != nil {
		return err
	}
	host.gateway = gw
	return nil
}

// KillHost stops a host's gateway at once, like a crash. It does nothing if the
// host is stopped.
func (dp *Deployment) KillHost(host *Host) {
	host.outOfRotation.Store(true)
	dp.endHost(host, hostProcess.Close)
}

// StopHost shuts down a host's gateway gracefully. Callers stop using the host
// after balancerDelay.
func (dp *Deployment) StopHost(host *Host) {
	tm := time.AfterFunc(balancerDelay, func() { host.outOfRotation.Store(true) })
	defer tm.Stop()
	dp.endHost(host, hostProcess.Stop)
	host.outOfRotation.Store(true)
}

// endHost ends a host's gateway and closes its log.
func (dp *Deployment) endHost(host *Host, end func(hostProcess)) {
	host.mu.Lock()
	defer host.mu.Unlock()
	if host.gateway == nil {
		return
	}
	end(host.gateway)
	host.gateway = nil
	if host.log != nil {
		host.log.Close()
	}
	_ = host.logFile.Close()
}

// Running reports whether the host's gateway runs.
func (host *Host) Running() bool {
	host.mu.Lock()
	defer host.mu.Unlock()
	return host.gateway != nil
}

// Ready asks the host whether it is ready for callers.
func (host *Host) Ready() bool {
	rs, err := http.Get("http://" + host.IP + ":8081" + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = rs.Body.Close() }()
	return rs.StatusCode == http.StatusOK
}
