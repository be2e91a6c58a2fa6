package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/setting"
	"rattanline.example/rattanline/standin"
)

const (
	// memoryMB is the memory that a daemon may use, in MiB.
	memoryMB = 134
	// graceTime is how long a daemon may run after SIGTERM.
	graceTime = 8 * time.Second
)

// process is a daemon that runs as a process of its own.
type process struct {
	cluster       *cluster
	name          string
	domain        string
	ip            string
	storeProxy    *proxy // between the daemon and the metadata store
	frontendProxy *proxy // between the callers and the daemon
	settingsPath  string
	log           *os.File

	mu      sync.Mutex
	command *exec.Cmd
	// stopRequested is set when the process was sent SIGTERM or SIGKILL.
	stopRequested bool
	done          chan struct{} // closed when the process has ended
	peakMB        int
	// faultActive is set while the process is being restarted or frozen by a fault.
	faultActive atomic.Bool
}

func (c *cluster) newProcess(number int) (*process, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+number/200, 1+number%200)
	p := &process{cluster: c, name: fmt.Sprintf("machine-%d", number), domain: domainName(number), ip: ip}
	var err error
	if p.storeProxy, err = newProxy(c.storeAddress); err != nil {
		return nil, err
	}
	if p.frontendProxy, err = newProxy(p.address(frontendPort)); err != nil {
		return nil, err
	}
	p.settingsPath = filepath.Join(c.options.Directory, p.name+".toml")
	if err := os.WriteFile(p.settingsPath, []byte(p.settings()), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if p.log, err = os.OpenFile(filepath.Join(c.options.Directory, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	return p, nil
}

// The ports of each daemon's address.
const (
	frontendPort = 7101 + iota
	readyPort
	linkPort
	directoryPort
)

func (p *process) address(port int) string { return p.ip + ":" + strconv.Itoa(port) }

// frontend returns the address of the frontend as the directory returns it.
func (p *process) frontend() string { return p.address(frontendPort) }

func domainName(number int) string { return "zone-" + string(rune('a'+number%domainCount)) }

func (p *process) settings() string {
	return standin.SettingsFile(setting.HostSettings{
		Name: p.name, IP: p.ip, FailureDomain: p.domain, FrontendAddress: p.frontend(), ReadyAddress: p.address(readyPort),
		LinkAddress: p.address(linkPort), DirectoryAddress: p.address(directoryPort), StoreAddress: p.storeProxy.address(),
		Cores: p.cluster.options.Cores, MemoryMB: memoryMB, GraceTime: graceTime, RevokeTime: revokeTime, RetryRatio: retryRatio, RetryWindow: retryWindow, RetrySlack: retrySlack,
		MaxAddressTTL: 5 * time.Second, MinLease: time.Second,
	})
}

// start starts the process, also after it has ended.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	program := p.cluster.options.Program
	command := exec.Command(program[0], program[1:]...)
	command.Env = append(os.Environ(), p.cluster.options.Environment...)
	command.Env = append(command.Env, standin.SettingsVariable+"="+p.settingsPath)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.command, p.stopRequested, p.done = command, false, make(chan struct{})
	p.cluster.checker.processStarted(p.frontend())
	go p.wait(command, p.done)
	return nil
}

// wait waits until the process has ended, and reports an end that was not requested.
func (p *process) wait(command *exec.Cmd, done chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	requested := p.stopRequested
	p.mu.Unlock()
	if !requested {
		p.cluster.checker.report("EXIT", "%s ended by itself: %v", p.name, err)
	}
	p.cluster.checker.processEnded(p.frontend())
	close(done)
}

// signal sends a signal to the process if it has been started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopRequested = true
	}
	_ = p.command.Process.Signal(s) // fails if the process has ended
}

// stackTime is how long a process may take to write the stacks of its goroutines.
const stackTime = time.Second

// stop sends the signal and waits until the process has ended. A process that still
// runs after its grace time is reported and killed; its log has the stacks of its goroutines.
func (p *process) stop(s syscall.Signal) {
	p.sampleMemory()
	p.signal(s)
	p.signal(syscall.SIGCONT)
	if p.endsWithin(graceTime) {
		return
	}
	p.cluster.checker.report("GRACE", "%s runs %s after the signal %s, state %s", p.name, graceTime, s, p.kernelState())
	p.signal(syscall.SIGQUIT)
	if !p.endsWithin(stackTime) {
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// endsWithin waits for the end of the process for at most the time, and reports whether it ended.
func (p *process) endsWithin(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// kernelState returns the kernel's state of the process, such as "Z (zombie)" for one that has
// ended.
func (p *process) kernelState() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(data)) {
		if state, ok := strings.CutPrefix(line, "State:"); ok {
			return strings.TrimSpace(state)
		}
	}
	return "unknown"
}

// sampleMemory updates the peak of the resident memory and reports a new peak above
// the limit.
func (p *process) sampleMemory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return // the process has ended
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return
	}
	mb := pages * os.Getpagesize() >> 20
	if p.peakMB < mb && mb > memoryMB {
		p.cluster.checker.report("MEMORY", "%s uses %d MB", p.name, mb)
	}
	p.peakMB = max(p.peakMB, mb)
}

// awaitReady waits until the daemon reports that it is ready.
func (p *process) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(30 * time.Millisecond) {
		if ready, err := standin.CheckReady(client, p.address(readyPort)); err == nil && ready {
			return nil
		}
	}
	return errors.Errorf("%s isn't ready after %s", p.name, limit)
}
