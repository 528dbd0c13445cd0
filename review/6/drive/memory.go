package drive

import (
	"syscall"
	"time"
)

// memoryCheckInterval is the time between two looks at the memory of a host's process.
const memoryCheckInterval = 20 * time.Millisecond

// MemoryLimit ends the processes of hosts that exceed their memory, as the platform does.
type MemoryLimit struct {
	deployment *Deployment
	limitMB    int
	kills      map[string]int
	peakMB     map[string]float64
	done       chan struct{}
	ended      chan struct{}
}

// LimitMemory begins to watch the memory of a deployment's hosts.
func LimitMemory(dp *Deployment, limitMB int) *MemoryLimit {
	ml := &MemoryLimit{deployment: dp, limitMB: limitMB, kills: map[string]int{}, peakMB: map[string]float64{}, done: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(ml.ended)
		ml.watch()
	}()
	return ml
}

func (ml *MemoryLimit) watch() {
	killed := map[string]int{}
	for {
		for _, ho := range ml.deployment.Hosts {
			resident := ho.ResidentMB()
			ml.peakMB[ho.Name] = max(ml.peakMB[ho.Name], resident)
			if resident <= float64(ml.limitMB) || killed[ho.Name] == ho.Starts() {
				continue
			}
			killed[ho.Name] = ho.Starts()
			ml.kills[ho.Name]++
			ml.deployment.Record.Printf("%s has %.0f MB of memory, more than %d MB", ho.Name, resident, ml.limitMB)
			ho.Signal(syscall.SIGKILL)
		}
		select {
		case <-ml.done:
			return
		case <-time.After(memoryCheckInterval):
		}
	}
}

// Close stops watching and returns how many hosts were ended at least so often, and the most
// memory in megabytes of any.
func (ml *MemoryLimit) Close(times int) (hosts int, peakMB float64) {
	close(ml.done)
	<-ml.ended
	for _, count := range ml.kills {
		if count >= times {
			hosts++
		}
	}
	for _, peak := range ml.peakMB {
		peakMB = max(peakMB, peak)
	}
	return hosts, peakMB
}
