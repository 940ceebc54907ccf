// Package crowds tests that an entry survives crowds of misbehaving callers. Each test starts the program as a process of its own, with
// the descriptors of the smallest VM, and lets one crowd loose on it.
package crowds

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/cluster"
	standinplatform "github.com/azurebarrow/azurebarrow/standin/platform"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// Bounds that hold for each crowd.
const (
	// maxResidentBytes leaves a third of the smallest VM, which has 144 MB, to the rest of the system.
	maxResidentBytes = 100 << 20
	// vmDescriptors is the descriptor limit of the smallest VM.
	vmDescriptors = 3075
	// maxDescriptors leaves an entry a sixth of them for targets, peers and the store.
	maxDescriptors = vmDescriptors * 5 / 6
	// vmCallerMemoryBytes is a quarter of the memory of the smallest VM: the default of limits.callerMemoryBytes there.
	vmCallerMemoryBytes = 144e6 / 4
)

// The crowd and the ordinary caller have an address each. Entries and stand-ins have 127.0.0.1.
const (
	crowdAddress    = "127.0.0.2"
	ordinaryAddress = "127.0.0.3"
)

// Time limits of waits. A pass doesn't depend on how long something took.
const (
	startTimeout    = 20 * time.Second
	ordinaryTimeout = 15 * time.Second
	pollInterval    = 10 * time.Millisecond
)

// Names and limits in the configuration. The timeouts exceed the length of a test, so that what a crowd holds stays held
// however slowly the machine runs.
const (
	hostName        = "h.example"
	apiKey          = "k1"
	crowdRequestID  = "crowd"
	callPrefix      = "/book/"
	streamPrefix    = "/drafts/"
	maxHeaderBytes  = 64 << 10
	maxBodyBytes    = 4 << 20
	headerTimeoutMs = 30_000
	idleTimeoutMs   = 60_000
	routeTimeoutMs  = 60_000
)

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the program under test, without the race detector also when the tests have it, and runs the tests.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "crowds")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	program = filepath.Join(folder, "azurebarrow")
	if text, err := exec.Command("go", "build", "-race=false", "-o", program, "github.com/azurebarrow/azurebarrow/cmd/azurebarrow").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, text)
		return 1
	}
	return m.Run()
}

// startStandins starts a store, an engine and a service, and returns the store's URL.
func startStandins(t *testing.T) (storeURL string) {
	t.Helper()
	store := standinplatform.New(standinplatform.Options{})
	server := httptest.NewServer(store.UsersAPIHandler())
	t.Cleanup(server.Close)
	startTarget(t, store, target.Options{ID: "i-e", Service: "drafts", Events: streamEvents, EventInterval: streamEventInterval})
	startTarget(t, store, target.Options{ID: "i-s", Service: "records"})
	store.Put("config", "main", json.RawMessage(fmt.Sprintf(`{"version":1,"routes":[
	 {"name":"drafts","hostname":%[1]q,"path_prefix":%[2]q,"kind":"streaming","timeout_ms":%[3]d,"target_latency_ms":30000,"service":"drafts","max_attempts":1},
	 {"name":"book","hostname":%[1]q,"path_prefix":%[4]q,"kind":"non_idempotent","timeout_ms":%[3]d,"target_latency_ms":30000,"service":"records","max_attempts":1}],
	 "services":[{"name":"drafts","engine":{"slots":%[5]d,"kv_capacity":100000000,"models":[{"name":"m"}]}},{"name":"records"}],
	 "limits":{"max_header_bytes":%[6]d,"max_body_bytes":%[7]d,"header_timeout_ms":%[8]d,"idle_timeout_ms":%[9]d},
	 "tenants":[{"name":"ranch","api_keys":[%[10]q]}]}`,
		hostName, streamPrefix, routeTimeoutMs, callPrefix, targetSlots, maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs, apiKey)))
	return server.URL
}

// targetSlots exceeds the requests of every crowd: targets are not what limits it.
const targetSlots = 10_000

// startTarget starts a target and writes its object into the store.
func startTarget(t *testing.T, store *standinplatform.Platform, options target.Options) {
	t.Helper()
	log, err := target.OpenLog(os.DevNull) // no test reads the records
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(nil)
	options.AvailabilityZone, options.Slots, options.Log = "a", targetSlots, log
	options.Advertise = server.Listener.Addr().String()
	server.Config.Handler = target.New(options)
	server.Start()
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	store.Put(target.ObjectKind, options.ID, json.RawMessage(fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"a","slots":%d,"state":"ready"}`, options.Service, options.Advertise, options.Slots)))
}

// entryProcess is a running entry.
type entryProcess struct {
	callerAddress, readyAddress string
	log                         string
	pid                         int
	process                     *cluster.Process
	// mostDescriptors is the largest number of open descriptors that was seen; stopWatch ends the watch.
	mostDescriptors int
	stopWatch       func()
}

// startEntry starts an entry and waits until it is ready.
func startEntry(t *testing.T, storeURL string) *entryProcess {
	t.Helper()
	folder := t.TempDir()
	e := &entryProcess{callerAddress: freeAddress(t), readyAddress: freeAddress(t), log: filepath.Join(folder, "log")}
	// The shell sets the descriptor limit, and the program takes its place and process ID. GOMAXPROCS is what Go chooses on the smallest
	// VM, whatever the processors of this machine.
	command := exec.Command("/bin/sh", "-c", `ulimit -n "$1" && shift && exec "$@"`, "sh", strconv.Itoa(vmDescriptors),
		program, "run", "--settings", writeSettings(t, folder, e, storeURL), "--admin-address", freeAddress(t))
	command.Env = append(os.Environ(), "GOMAXPROCS=2")
	process, err := cluster.StartProcess(command, e.log)
	if err != nil {
		t.Fatal(err)
	}
	e.process, e.pid = process, command.Process.Pid
	t.Cleanup(func() {
		_ = process.Signal(syscall.SIGKILL) // fails only if it has ended
		<-process.Done()
	})
	for end := time.Now().Add(startTimeout); !e.isReady(); time.Sleep(pollInterval) {
		if !e.isAlive() || time.Now().After(end) {
			t.Fatal("the entry is not ready\n", e.lastLogLines())
		}
	}
	e.watchDescriptors(t)
	return e
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := cluster.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// writeSettings renders the template of the settings as the platform does, and adds the memory limit of the smallest VM, whose default
// depends on this machine. Programs from before that setting start without it.
func writeSettings(t *testing.T, folder string, e *entryProcess, storeURL string) string {
	t.Helper()
	template, err := os.ReadFile("../../deploy/settings.yaml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	peerAddress := freeAddress(t)
	text := strings.NewReplacer(
		"{{node_name|json}}", `"edge-1"`, "{{zone|json}}", `"a"`, "{{ip}}", "127.0.0.1",
		"{{listen_addrs.front|json}}", strconv.Quote(e.callerAddress), "{{listen_addrs.control|json}}", strconv.Quote(peerAddress),
		"{{listen_addrs.ready|json}}", strconv.Quote(e.readyAddress), "{{platform.address}}", strings.TrimPrefix(storeURL, "http://"),
		"{{#seed_nodes}}{{.|json}}{{,}}{{/seed_nodes}}", strconv.Quote(peerAddress),
		"{{bounds.retry_budget_ratio}}", "0.8", "{{bounds.retry_slack}}", "150", "{{bounds.budget_window_s}}", "10",
		"{{bounds.grace_s}}", "8", "{{limits.link_mbps}}", "1000.0",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		t.Fatal("the template of the settings has an unknown placeholder\n", text)
	}
	file := filepath.Join(folder, "settings.yaml")
	const ownerOnly = 0o600
	limits := fmt.Sprintf("limits:\n  callerMemoryBytes: %d\n", int64(vmCallerMemoryBytes))
	if err := os.WriteFile(file, []byte(text+limits), ownerOnly); err != nil {
		t.Fatal(err)
	}
	findings, err := exec.Command(program, "check", "--settings", file).CombinedOutput()
	if err == nil {
		return file
	}
	if !strings.Contains(string(findings), "callerMemoryBytes: unknown setting") {
		t.Fatalf("%v\n%s", err, findings)
	}
	t.Log("the program has no setting limits.callerMemoryBytes")
	if err := os.WriteFile(file, []byte(text), ownerOnly); err != nil {
		t.Fatal(err)
	}
	return file
}

func (e *entryProcess) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + e.readyAddress + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (e *entryProcess) isAlive() bool {
	select {
	case <-e.process.Done():
		return false
	default:
		return true
	}
}

// shownLogLines is how much of the entry's log a failure shows.
const shownLogLines = 8

// lastLogLines returns the end of the entry's log, without the lines about requests of the crowd.
func (e *entryProcess) lastLogLines() string {
	text, _ := os.ReadFile(e.log) // an error shows as an empty log
	var lines []string
	for line := range strings.Lines(string(text)) {
		if !strings.Contains(line, "request="+crowdRequestID+" ") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines[max(0, len(lines)-shownLogLines):], "")
}

// watchDescriptors starts to count the open descriptors of the process repeatedly.
func (e *entryProcess) watchDescriptors(t *testing.T) {
	const interval = 50 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() {
		for ctx.Err() == nil {
			// An error means that the process has ended, which isAlive reports.
			descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.pid))
			e.mostDescriptors = max(e.mostDescriptors, len(descriptors))
			time.Sleep(interval)
		}
	})
	e.stopWatch = func() { cancel(); watch.Wait() }
	t.Cleanup(e.stopWatch)
}

// maxResident returns the most resident memory that the process has had, in bytes.
func (e *entryProcess) maxResident() (int64, error) { return e.process.MaxResidentBytes() }

// callOrdinarily sends a small request on a new connection from ordinaryAddress. It returns an error unless the answer is the target's.
func (e *entryProcess) callOrdinarily(id string) error {
	const body = "312 kg"
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ordinaryAddress)}}
	client := http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+e.callerAddress+callPrefix+"crate", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Host = hostName
	request.Header.Set(target.FieldRequestID, id)
	request.Header.Set(target.FieldAuthorization, "Bearer "+apiKey)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if want := target.CallBody(http.MethodPost, callPrefix+"crate", body); response.StatusCode != http.StatusOK || string(text) != want {
		return fmt.Errorf("answer %s %q, want 200 %q", response.Status, text, want)
	}
	return nil
}

// callRaw sends the bytes of a request on a new connection from ordinaryAddress. It returns an error unless the answer is 200, with a body
// that ends as its length says.
func (e *entryProcess) callRaw(request []byte) error {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ordinaryAddress)}}
	conn, err := dialer.Dial("tcp", e.callerAddress)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(ordinaryTimeout)) // a TCP connection has deadlines
	go func() { _, _ = conn.Write(request) }()            // an entry may answer before it has read everything
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("answer %s, want 200", response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
