package session

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// pollTimeout bounds every wait for a condition. It is far longer than any wait
// normally takes, so that tests do not fail on a slow host.
const pollTimeout = 60 * time.Second

// poll calls try until it reports success, and fails the script after pollTimeout
// with what try saw last.
func poll(ts *testscript.TestScript, what string, try func() (ok bool, seen string)) {
	seen := ""
	for end := time.Now().Add(pollTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		var ok bool
		if ok, seen = try(); ok {
			return
		}
	}
	ts.Fatalf("%s: not within %s; last seen: %s", what, pollTimeout, seen)
}

// await implements the script command "await STATUS URL", which waits until a GET
// of the URL returns the status.
func await(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, "await "+strings.Join(args, " "), func() (bool, string) {
		r, err := http.Get(args[1])
		if err != nil {
			return false, err.Error()
		}
		defer r.Body.Close()
		body, _ := io.ReadAll(r.Body)
		return strconv.Itoa(r.StatusCode) == args[0], fmt.Sprintf("%s %s", r.Status, body)
	})
}

// eventually implements the script command "eventually PATTERN COMMAND
// ARGUMENT...", which runs the command until it succeeds and its standard output
// matches the pattern.
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile("(?m)" + args[0])
	poll(ts, strings.Join(args, " "), func() (bool, string) {
		err := ts.Exec(args[1], args[2:]...)
		seen := ts.ReadFile("stdout")
		return err == nil && pattern.MatchString(seen), seen + ts.ReadFile("stderr")
	})
}

// exits implements the script command "exits CODE COMMAND ARGUMENT...", which
// runs the command and fails unless it ends with the exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	code := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}

// terminate implements the script command "terminate NAME...", which sends
// SIGTERM to the daemons with the names.
func terminate(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		sent := false
		for _, c := range ts.BackgroundCmds() {
			if slices.Contains(c.Args, name+".yaml") {
				ts.Check(c.Process.Signal(syscall.SIGTERM))
				sent = true
			}
		}
		if !sent {
			ts.Fatalf("no process has the settings %s.yaml", name)
		}
	}
}

// requestID implements the script command "request-id", which sets $request to
// the request id in the last standard output.
func requestID(ts *testscript.TestScript, _ bool, _ []string) {
	id := uuidPattern.FindString(ts.ReadFile("stdout"))
	if id == "" {
		ts.Fatalf("the output has no request id")
	}
	ts.Setenv("request", id)
}

// expand implements the script command "expand FILE...", which expands the
// environment variables in the files.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// lowestPort and highestPort bound the ports given to scripts. The range lies
// below the ephemeral ports of usual systems: an outgoing connection or a listener
// on port 0 could take an ephemeral port between its choice and its use.
const lowestPort, highestPort = 12000, 32000

var (
	portMutex sync.Mutex
	nextPort  = lowestPort + rand.IntN(highestPort-lowestPort)
)

// freeAddress returns a loopback address on which nothing listens. Successive
// calls return different ports.
func freeAddress(ts *testscript.TestScript) string {
	portMutex.Lock()
	defer portMutex.Unlock()
	for range highestPort - lowestPort {
		if nextPort++; nextPort >= highestPort {
			nextPort = lowestPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	ts.Fatalf("no free port")
	return ""
}

// ports implements the script command "ports NAME...", which sets each variable
// to a free address.
func ports(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		address := freeAddress(ts)
		ts.Setenv(name, address)
		maskOf(ts).addAddress(address, name)
	}
}

// settings implements the script command "settings NAME DOMAIN CHANGE...", which
// writes the settings file NAME.yaml of a daemon. The daemon uses the key-value
// service at $kv, the host list at $hosts if that is set, and the earlier daemons
// of the script as peers. The addresses of its listeners are set in the variables
// NAME_entry, NAME_link and NAME_operator. A change "SETTING: VALUE" replaces the
// line of the setting or adds one; "-SETTING" removes it.
func settings(ts *testscript.TestScript, _ bool, args []string) {
	name, domain, changes := args[0], args[1], args[2:]
	ports(ts, false, []string{name + "_entry", name + "_link", name + "_operator"})
	entry, link, operatorAddress := ts.Getenv(name+"_entry"), ts.Getenv(name+"_link"), ts.Getenv(name+"_operator")
	lines := []string{
		"name: " + name, "host: " + name + "-host", "failure-domain: " + domain,
		"entry-address: " + entry, "entry-url: http://" + entry,
		"link-address: " + link, "link-advertise: " + link, "operator-address: " + operatorAddress,
		"tls-mode: plain", "platform-url: http://" + ts.Getenv("kv"),
	}
	if hosts := ts.Getenv("hosts"); hosts != "" {
		lines = append(lines, "host-list-url: http://"+hosts)
	}
	peers := ts.Getenv("peers")
	lines = append(lines, "peers: ["+peers+"]", "stop-deadline: 20s")
	ts.Setenv("peers", strings.TrimPrefix(peers+", "+link, ", "))
	for _, c := range changes {
		setting, _, _ := strings.Cut(strings.TrimPrefix(c, "-"), ":")
		i := slices.IndexFunc(lines, func(l string) bool { return strings.HasPrefix(l, setting+":") })
		switch {
		case i < 0:
			lines = append(lines, c)
		case strings.HasPrefix(c, "-"):
			lines = slices.Delete(lines, i, i+1)
		default:
			lines[i] = c
		}
	}
	ts.Check(os.WriteFile(ts.MkAbs(name+".yaml"), []byte(strings.Join(lines, "\n")+"\n"), 0o600))
}
