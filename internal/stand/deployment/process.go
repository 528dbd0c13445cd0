package deployment

import (
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/platform"
)

// signalDelay is how old a process must be to get a SIGHUP: before its runtime handles
// signals, that would end it.
const signalDelay = 200 * time.Millisecond

// stopTimeout is how long a process may take to stop, more than its grace period.
const stopTimeout = 8 * time.Second

// process is a gateway that runs as a process of its own.
type process struct {
	command   *exec.Cmd
	startedAt time.Time
	ended     chan struct{}
}

// startProcess starts chervilwalk with a settings file. Its output goes to log.
func startProcess(program, settings string, log io.Writer) (*process, error) {
	cm := exec.Command(program, "front")
	cm.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	cm.Stdout, cm.Stderr = log, log
	if err := cm.Start(); err != nil {
		return nil, eris.Wrap(err, program)
	}
	pr := &process{command: cm, startedAt: time.Now(), ended: make(chan struct{})}
	go func() {
		defer close(pr.ended)
		// The caller knows why the process ends.
		_ = cm.Wait()
	}()
	return pr, nil
}

// signal sends a signal, unless the process has ended.
func (pr *process) signal(sg syscall.Signal) { _ = pr.command.Process.Signal(sg) }

// Stop implements hostProcess. A process that does not stop in time is killed.
func (pr *process) Stop() {
	pr.signal(syscall.SIGTERM)
	select {
	case <-pr.ended:
	case <-time.After(stopTimeout):
		pr.Close()
	}
}

// Close implements hostProcess.
func (pr *process) Close() {
	pr.signal(syscall.SIGKILL)
	<-pr.ended
}

// withProcess calls action with a host's process, if it has one.
func (host *Host) withProcess(action func(*process)) {
	host.mu.Lock()
	defer host.mu.Unlock()
	if pr, ok := host.gateway.(*process); ok {
		action(pr)
	}
}

// Freeze stops a host's process without ending it, Thaw continues it.
func (host *Host) Freeze() { host.withProcess(func(pr *process) { pr.signal(syscall.SIGSTOP) }) }

// Thaw continues a frozen process.
func (host *Host) Thaw() { host.withProcess(func(pr *process) { pr.signal(syscall.SIGCONT) }) }

// Reload makes a host's process read its settings file again.
func (host *Host) Reload() {
	host.withProcess(func(pr *process) {
		time.Sleep(time.Until(pr.startedAt.Add(signalDelay)))
		pr.signal(syscall.SIGHUP)
	})
}

// PeakKB returns the peak memory of a host's process in KB, 0 if it has none.
func (host *Host) PeakKB() int {
	peak := 0
	host.withProcess(func(pr *process) {
		status, err := os.ReadFile("/proc/" + strconv.Itoa(pr.command.Process.Pid) + "/status")
		if err != nil {
			return
		}
		for line := range strings.Lines(string(status)) {
			if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
				if size, err := strconv.Atoi(fields[1]); err == nil {
					peak = size
				}
			}
		}
	})
	return peak
}
