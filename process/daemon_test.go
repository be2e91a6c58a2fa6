package process

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/operator"
)

// daemonProcess is one daemon of a fleet. It keeps its name and addresses over
// restarts.
type daemonProcess struct {
	c                    *qt.C
	name, host, domain   string
	entry, link, control string // host:port
	relay                *relay // of its links, nil without relays
	settings, log        string // files
	mu                   sync.Mutex
	command              *exec.Cmd
	ended                chan struct{}
	err                  error
	client               *http.Client
	operator             *operator.Client
}

func (d *daemonProcess) url() string { return "http://" + d.entry }

// start starts the process; it does not wait until the daemon serves.
func (d *daemonProcess) start() {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	d.c.Assert(err, qt.IsNil)
	defer log.Close()
	command := exec.Command(os.Args[0], "--settings", d.settings)
	command.Env = append(os.Environ(), asDaemon+"=1")
	command.Stdout, command.Stderr = log, log
	// Daemons must not outlive a test that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.c.Assert(command.Start(), qt.IsNil)
	ended := make(chan struct{})
	d.mu.Lock()
	d.command, d.ended = command, ended
	d.mu.Unlock()
	go func() {
		err := command.Wait()
		d.mu.Lock()
		d.err = err
		d.mu.Unlock()
		close(ended)
	}()
}

func (d *daemonProcess) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.command.Process.Pid
}

func (d *daemonProcess) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.command.Process.Signal(s) // the process may have ended
}

func (d *daemonProcess) freeze() { d.signal(syscall.SIGSTOP) }
func (d *daemonProcess) resume() { d.signal(syscall.SIGCONT) }

// kill ends the process without notice.
func (d *daemonProcess) kill() {
	d.signal(syscall.SIGKILL)
	<-d.ended
}

// stop asks for a graceful stop and returns how long it took.
func (d *daemonProcess) stop(limit time.Duration) time.Duration {
	began := time.Now()
	d.signal(syscall.SIGTERM)
	select {
	case <-d.ended:
		d.c.Check(d.err, qt.IsNil, qt.Commentf("exit of %s", d.name))
	case <-time.After(limit):
		d.c.Errorf("%s has not stopped within %s", d.name, limit)
		d.kill()
	}
	return time.Since(began)
}

// get returns the header and body of a page of the daemon.
func (d *daemonProcess) get(url string) (http.Header, string, error) {
	response, err := d.client.Get(url)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("status %s", response.Status)
	}
	return response.Header, string(data), err
}

func (d *daemonProcess) awaitReady(limit time.Duration) {
	d.c.Helper()
	eventually(d.c, limit, d.name+" ready", func() error {
		_, _, err := d.get(d.url() + "/readyz")
		return err
	})
}

// version returns the version that the daemon itself has in force.
func (d *daemonProcess) version() (v uint64, err error) {
	header, _, err := d.get("http://" + d.control + "/v1/configuration")
	if err == nil {
		_, err = fmt.Sscan(header.Get("Rattanline-Config-Version"), &v)
	}
	return v, err
}

// status returns what the daemon says of itself.
func (d *daemonProcess) status() (operator.HostStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	s, err := d.operator.Status(ctx)
	if err != nil {
		return operator.HostStatus{}, err
	}
	for _, h := range s.Hosts {
		if h.Daemon == d.name {
			return h, nil
		}
	}
	return operator.HostStatus{}, errors.Errorf("%s is in no member table", d.name)
}

// metric returns a counter of the daemon, zero if it can't be read.
func (d *daemonProcess) metric(name string) (v float64) {
	_, page, _ := d.get(d.url() + "/metrics")
	for line := range strings.Lines(page) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			_, _ = fmt.Sscan(rest, &v)
		}
	}
	return v
}

// complaints returns the last warnings and errors of the log.
func (d *daemonProcess) complaints() string {
	data, _ := os.ReadFile(d.log)
	var found []string
	for line := range strings.Lines(string(data)) {
		if !strings.Contains(line, `"level":"info"`) {
			found = append(found, line)
		}
	}
	return filepath.Base(d.log) + ":\n" + strings.Join(found[max(0, len(found)-8):], "")
}
