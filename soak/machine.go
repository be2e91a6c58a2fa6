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
	// memoryMB is what a daemon may use.
	memoryMB = 134
	// graceTime is how long a daemon may run after SIGTERM.
	graceTime = 8 * time.Second
)

// machine is one daemon, a process of its own.
type machine struct {
	world *world
	name  string
	zone  string
	ip    string
	store *proxy // to the metadata store
	front *proxy // of its callers
	file  string
	log   *os.File

	mu      sync.Mutex
	command *exec.Cmd
	// ending tells that the process was told to end, done is closed at its end.
	ending bool
	done   chan struct{}
	peakMB int
	// busy tells that a fault of the process is in progress.
	busy atomic.Bool
}

func (w *world) newMachine(number int) (*machine, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+number/200, 1+number%200)
	m := &machine{world: w, name: fmt.Sprintf("machine-%d", number), zone: zoneName(number), ip: ip}
	var err error
	if m.store, err = newProxy(w.storeAddress); err != nil {
		return nil, err
	}
	if m.front, err = newProxy(m.address(frontendPort)); err != nil {
		return nil, err
	}
	m.file = filepath.Join(w.options.Directory, m.name+".toml")
	if err := os.WriteFile(m.file, []byte(m.settings()), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if m.log, err = os.OpenFile(filepath.Join(w.options.Directory, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	return m, nil
}

// The ports of each machine's address.
const (
	frontendPort = 7101 + iota
	readyPort
	linkPort
	directoryPort
)

func (m *machine) address(port int) string { return m.ip + ":" + strconv.Itoa(port) }

// frontend returns the address that the directory names.
func (m *machine) frontend() string { return m.address(frontendPort) }

func zoneName(number int) string { return "zone-" + string(rune('a'+number%zones)) }

func (m *machine) settings() string {
	return standin.MachineSettings(setting.HostSettings{
		Name: m.name, IP: m.ip, FailureDomain: m.zone, FrontendAddress: m.frontend(), ReadyAddress: m.address(readyPort),
		LinkAddress: m.address(linkPort), DirectoryAddress: m.address(directoryPort), StoreAddress: m.store.address(),
		MemoryMB: memoryMB, GraceTime: graceTime, RevokeTime: revokeTime, RetryRatio: retryRatio, RetryWindow: retryWindow, RetrySlack: retrySlack,
		MaxAddressTTL: 5 * time.Second, MinLease: time.Second,
	})
}

// start starts the process. It is started again a moment after it ended.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	program := m.world.options.Program
	command := exec.Command(program[0], program[1:]...)
	command.Env = append(os.Environ(), m.world.options.Environment...)
	command.Env = append(command.Env, standin.SettingsVariable+"="+m.file)
	command.Stdout, command.Stderr = m.log, m.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", m.name, err)
	}
	m.command, m.ending, m.done = command, false, make(chan struct{})
	m.world.judge.lives(m.frontend())
	go m.wait(command, m.done)
	return nil
}

func (m *machine) wait(command *exec.Cmd, done chan struct{}) {
	err := command.Wait()
	m.mu.Lock()
	ending := m.ending
	m.mu.Unlock()
	if !ending {
		m.world.judge.report("EXIT", "%s ended by itself: %v", m.name, err)
	}
	m.world.judge.died(m.frontend())
	close(done)
}

// signal sends a signal to the process, if it runs.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.ending = true
	}
	_ = m.command.Process.Signal(s) // it may have ended
}

// end ends the process with the signal and waits for its end. One that outlives
// its grace time after SIGTERM is killed.
func (m *machine) end(s syscall.Signal) {
	m.sample()
	m.signal(s)
	m.signal(syscall.SIGCONT)
	select {
	case <-m.done:
	case <-time.After(graceTime):
		m.world.judge.report("GRACE", "%s runs %s after the signal %s", m.name, graceTime, s)
		m.signal(syscall.SIGKILL)
		<-m.done
	}
}

// sample looks at the memory of the process.
func (m *machine) sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil {
		return
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.command.Process.Pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return // it has ended
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return
	}
	mb := pages * os.Getpagesize() >> 20
	if m.peakMB < mb && mb > memoryMB {
		m.world.judge.report("MEMORY", "%s uses %d MB", m.name, mb)
	}
	m.peakMB = max(m.peakMB, mb)
}

// awaitReady waits until the daemon takes callers.
func (m *machine) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(30 * time.Millisecond) {
		if ready, err := standin.AskReady(client, m.address(readyPort)); err == nil && ready {
			return nil
		}
	}
	return errors.Errorf("%s isn't ready after %s", m.name, limit)
}
