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

// patience bounds every wait for a condition. It is far longer than any wait
// takes, so that a slow machine doesn't fail.
const patience = 60 * time.Second

// poll calls the function until it tells success.
func poll(ts *testscript.TestScript, what string, try func() (ok bool, seen string)) {
	seen := ""
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		var ok bool
		if ok, seen = try(); ok {
			return
		}
	}
	ts.Fatalf("%s: not within %s; last seen: %s", what, patience, seen)
}

// await waits until a GET of the URL has the status: await 200 URL.
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

// eventually runs a command until its standard output matches the pattern:
// eventually PATTERN COMMAND ARGUMENT...
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile("(?m)" + args[0])
	poll(ts, strings.Join(args, " "), func() (bool, string) {
		err := ts.Exec(args[1], args[2:]...)
		seen := ts.ReadFile("stdout")
		return err == nil && pattern.MatchString(seen), seen + ts.ReadFile("stderr")
	})
}

// exits runs a command that must end with the exit code: exits 2 COMMAND
// ARGUMENT...
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

// terminate sends SIGTERM to the daemons with the names.
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

// requestID sets $request to the id in the last output of the program http.
func requestID(ts *testscript.TestScript, _ bool, _ []string) {
	id := uuidPattern.FindString(ts.ReadFile("stdout"))
	if id == "" {
		ts.Fatalf("the output has no request id")
	}
	ts.Setenv("request", id)
}

// expand replaces the variables in the files: expand FILE...
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// The ports given to scripts. They lie below those that systems use for outgoing
// connections and listeners without a fixed port, which could take a port
// between its choice and its use.
const lowestPort, highestPort = 12000, 32000

var (
	portMutex sync.Mutex
	nextPort  = lowestPort + rand.IntN(highestPort-lowestPort)
)

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

// ports sets each variable to a free address: ports NAME...
func ports(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		address := freeAddress(ts)
		ts.Setenv(name, address)
		maskOf(ts).address(address, name)
	}
}

// settings writes NAME.yaml for a daemon that uses the addresses $kv and, if
// set, $hosts, and the earlier daemons of the script as peers. Its listeners get
// the variables NAME-entry, NAME-link and NAME-operator. Further arguments
// replace a line by its name, add one, or remove it if it is "-" and a name.
func settings(ts *testscript.TestScript, _ bool, args []string) {
	name, domain, changes := args[0], args[1], args[2:]
	ports(ts, false, []string{name + "_entry", name + "_link", name + "_operator"})
	entry, link, control := ts.Getenv(name+"_entry"), ts.Getenv(name+"_link"), ts.Getenv(name+"_operator")
	lines := []string{
		"name: " + name, "host: " + name + "-host", "failure-domain: " + domain,
		"entry-address: " + entry, "entry-url: http://" + entry,
		"link-address: " + link, "link-advertise: " + link, "operator-address: " + control,
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
