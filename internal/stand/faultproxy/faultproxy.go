// Package faultproxy forwards TCP connections on loopback and disturbs them: it
// delays, silences, cuts one way or resets them.
//
//	px, err := faultproxy.Start("127.0.0.1:0", target)
//	px.SetFaults(faultproxy.Faults{Delay: 50 * time.Millisecond})
//	px.Reset()
package faultproxy

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"time"
)

// Faults are what the proxy does to the bytes that it forwards.
type Faults struct {
	// Delay is the time that each block of bytes waits.
	Delay time.Duration
	// DropRequests and DropAnswers lose the bytes of one direction; with both, the
	// connections are silent.
	DropRequests, DropAnswers bool
}

// bufferBytes is the size of the blocks that are forwarded.
const bufferBytes = 16 << 10

// Proxy is a running proxy. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	group    sync.WaitGroup

	mu     sync.Mutex
	faults Faults
	// conns holds the open connections, true for those that are silent for good.
	conns map[net.Conn]bool
	// trigger is the text that makes them silent, nil without one. triggered is closed then.
	trigger   []byte
	triggered chan struct{}
	closed    bool
}

// Start listens on an address and forwards to the target, both IP:PORT.
func Start(address, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	px := &Proxy{listener: ln, target: target, conns: map[net.Conn]bool{}}
	px.group.Add(1)
	go px.accept()
	return px, nil
}

// Address returns the IP:PORT that the proxy listens on.
func (px *Proxy) Address() string { return px.listener.Addr().String() }

// SetFaults replaces the faults, also for open connections.
func (px *Proxy) SetFaults(fl Faults) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.faults = fl
}

// Silence makes all open connections silent for good: the caller does not see either that the
// target closes. New ones work.
func (px *Proxy) Silence() {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.silence()
}

// SilenceAt calls Silence as soon as a caller sends a block of bytes that holds a text, which is not
// forwarded any more. The returned channel is closed then.
func (px *Proxy) SilenceAt(text string) <-chan struct{} {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.trigger, px.triggered = []byte(text), make(chan struct{})
	return px.triggered
}

// silence makes all open connections silent. px.mu must be held.
func (px *Proxy) silence() {
	for conn := range px.conns {
		px.conns[conn] = true
	}
}

// Reset resets all open connections.
func (px *Proxy) Reset() {
	px.mu.Lock()
	defer px.mu.Unlock()
	for conn := range px.conns {
		if tc, ok := conn.(*net.TCPConn); ok {
			// If this fails, the connection is closed without a reset.
			_ = tc.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// StopAccepting makes the proxy refuse new connections, as the address of a process that has ended
// does. Open ones stay.
func (px *Proxy) StopAccepting() { _ = px.listener.Close() }

// Close closes the listener and all connections and waits for them to end.
func (px *Proxy) Close() {
	px.mu.Lock()
	px.closed = true
	px.mu.Unlock()
	_ = px.listener.Close()
	px.Reset()
	px.group.Wait()
}

func (px *Proxy) accept() {
	defer px.group.Done()
	for {
		conn, err := px.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		px.group.Add(1)
		go px.forward(conn)
	}
}

// forward connects a caller's connection with the target until one of them ends.
func (px *Proxy) forward(caller net.Conn) {
	defer px.group.Done()
	target, err := net.DialTimeout("tcp", px.target, time.Second)
	if err != nil {
		_ = caller.Close()
		return
	}
	if !px.add(caller, target) {
		return
	}
	defer px.remove(caller, target)
	ended := make(chan struct{}, 2)
	px.group.Add(2)
	go func() {
		defer px.group.Done()
		px.copy(target, caller, func(fl Faults) bool { return fl.DropRequests })
		ended <- struct{}{}
	}()
	go func() {
		defer px.group.Done()
		px.copy(caller, target, func(fl Faults) bool { return fl.DropAnswers })
		if !px.isSilent(target) {
			ended <- struct{}{}
		}
	}()
	<-ended
}

// isSilent reports whether a connection is silent for good.
func (px *Proxy) isSilent(conn net.Conn) bool {
	px.mu.Lock()
	defer px.mu.Unlock()
	return px.conns[conn]
}

// add registers the connections, or closes them if the proxy is closed.
func (px *Proxy) add(conns ...net.Conn) bool {
	px.mu.Lock()
	defer px.mu.Unlock()
	for _, conn := range conns {
		if px.closed {
			_ = conn.Close()
			continue
		}
		px.conns[conn] = false
	}
	return !px.closed
}

func (px *Proxy) remove(conns ...net.Conn) {
	px.mu.Lock()
	defer px.mu.Unlock()
	for _, conn := range conns {
		delete(px.conns, conn)
		_ = conn.Close()
	}
}

// copy forwards one direction until a connection ends.
func (px *Proxy) copy(to, from net.Conn, drops func(Faults) bool) {
	buf := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buf)
		px.mu.Lock()
		if px.trigger != nil && bytes.Contains(buf[:count], px.trigger) {
			px.silence()
			px.trigger = nil
			close(px.triggered)
		}
		fl, silent := px.faults, px.conns[from]
		px.mu.Unlock()
		time.Sleep(fl.Delay)
		if count > 0 && !silent && !drops(fl) {
			if _, err := to.Write(buf[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
