//go:build review

// Package rig holds the stand-ins and the scripts of the review's cases. Each case starts entries as separate processes and plays
// the platform, the engines and the clients itself.
package rig

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	timeLimit = 110 * time.Second
)

// cases are the scripts by name.
var cases = map[string]func(*rig) int{}

// TestMain runs the case that is named by the first argument; the second one is the file of its record.
func TestMain(*testing.M) {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE RECORD, in the root of the repository")
		os.Exit(couldNot)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// rig is one run of a case.
type rig struct {
	// trouble is false for the run without the disruption.
	trouble bool
	start   time.Time
	prefix  string
	folder  string
	store   *store
	ledger  *ledger
	entries []*entry
	engines []*engine

	mu     sync.Mutex
	record *os.File
	seq    int
}

func play(script func(*rig) int, record string) (code int) {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer os.RemoveAll(folder)
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), folder: folder, record: file, ledger: &ledger{}}
	defer r.stop()
	done := make(chan int, 1)
	go func() {
		defer func() {
			if failure := recover(); failure != nil {
				r.note("could not run: %v", failure)
				done <- couldNot
			}
		}()
		if err := r.open(); err != nil {
			r.note("could not run: %v", err)
			done <- couldNot
			return
		}
		done <- script(r)
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code = <-done:
	case <-ended:
		r.note("could not run: ended by a signal")
		code = couldNot
	case <-time.After(timeLimit):
		r.note("could not run: the time is over")
		code = couldNot
	}
	r.note("exit %d (0 held, 1 broken, 2 could not run), with the disruption: %v", code, r.trouble)
	return code
}

// open chooses loopback addresses and starts the store.
func (r *rig) open() error {
	for range 50 {
		r.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", r.prefix+"10:8740")
		if err != nil {
			continue
		}
		_ = listener.Close()
		r.store, err = newStore(r.prefix + "9")
		return err
	}
	return errors.New("no free loopback address")
}

func (r *rig) stop() {
	for _, each := range r.entries {
		each.kill()
	}
	for _, each := range r.engines {
		each.crash()
	}
	if r.store != nil {
		_ = r.store.server.Close()
	}
}

// note writes a line to the record, with the time since the start.
func (r *rig) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
	_, _ = r.record.WriteString(line)
	if !strings.HasPrefix(format, "-") {
		fmt.Print(line)
	}
}

// at waits until a time after the start.
func (r *rig) at(seconds float64) { time.Sleep(time.Until(r.start.Add(r.seconds(seconds)))) }

func (r *rig) seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// entry is one process of the system.
type entry struct {
	name, zone, ip, settings string
	log                      string
	command                  *exec.Cmd
	ended                    chan struct{}
}

// startEntries starts entries with the deploy file's command and its template of the settings, and waits until all are ready.
func (r *rig) startEntries(count int) {
	template, err := os.ReadFile("deploy/settings.yaml.tmpl")
	if err != nil {
		panic(err)
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:8748", r.prefix, 10+i)))
	}
	for i := range count {
		e := &entry{name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], ip: fmt.Sprintf("%s%d", r.prefix, 10+i)}
		text := string(template)
		for placeholder, value := range map[string]string{
			"{{node_name|json}}":          fmt.Sprintf("%q", e.name),
			"{{zone|json}}":               fmt.Sprintf("%q", e.zone),
			"{{listen_addrs.front|json}}": fmt.Sprintf("%q", e.ip+":8740"), "{{listen_addrs.control|json}}": fmt.Sprintf("%q", e.ip+":8748"),
			"{{listen_addrs.ready|json}}": fmt.Sprintf("%q", e.ip+":8749"),
			"{{ip}}":                      e.ip, "{{platform.address}}": strings.TrimPrefix(r.store.url, "http://"),
			"{{#seed_nodes}}{{.|json}}{{,}}{{/seed_nodes}}": strings.Join(seeds, ","),
			"{{bounds.retry_budget_ratio}}":                 "0.8", "{{bounds.retry_slack}}": "150", "{{bounds.budget_window_s}}": "10",
			"{{bounds.grace_s}}": "8", "{{limits.link_mbps}}": "1000.0",
		} {
			text = strings.ReplaceAll(text, placeholder, value)
		}
		if strings.Contains(text, "{{") {
			panic("the template of the settings has an unknown placeholder")
		}
		e.settings, e.log = filepath.Join(r.folder, e.name+".yaml"), filepath.Join(r.folder, e.name+".log")
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			panic(err)
		}
		r.entries = append(r.entries, e)
		e.run()
	}
	for _, e := range r.entries {
		e.awaitReady()
	}
	r.note("%d entries are ready", count)
}

func (e *entry) run() {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	e.command = exec.Command("target/azurebarrow", "run", "--settings", e.settings)
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		panic(err)
	}
	e.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}(e.command, e.ended)
}

func (e *entry) signal(signal syscall.Signal) { _ = e.command.Process.Signal(signal) }

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.ended
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + e.ip + ":8749/v1/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (e *entry) awaitReady() {
	for range 150 {
		if e.isReady() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic(e.name + " is not ready")
}

// client keeps a connection to one entry, and sends one request at a time.
type client struct {
	rig   *rig
	entry *entry
	http  http.Client
}

func (r *rig) newClient(e *entry) *client {
	return &client{rig: r, entry: e, http: http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}}
}

// request is one attempt of a client.
type request struct {
	method, path, key string
	timeout           time.Duration
	body              []byte
	header            map[string]string
}

// answer is what a client got. An error means that there was no whole answer.
type answer struct {
	id         string
	entry      string
	sent, done time.Time
	status     int
	header     http.Header
	body       string
	err        error
}

const host = "desk.example"

func (c *client) do(q request) answer {
	c.rig.mu.Lock()
	c.rig.seq++
	id := fmt.Sprintf("q%06d", c.rig.seq)
	c.rig.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	got := answer{id: id, entry: c.entry.name, sent: time.Now()}
	sent, err := http.NewRequestWithContext(ctx, q.method, "http://"+c.entry.ip+":8740"+q.path, bytes.NewReader(q.body))
	if err != nil {
		got.err = err
		return got
	}
	sent.Host = host
	sent.Header.Set("X-Request-Id", id)
	sent.Header.Set("X-Deadline-Ms", fmt.Sprint(q.timeout.Milliseconds()))
	sent.Header.Set("Authorization", "Bearer "+q.key)
	for name, value := range q.header {
		sent.Header.Set(name, value)
	}
	received, err := c.http.Do(sent)
	if err != nil {
		got.err, got.done = err, time.Now()
		return got
	}
	defer received.Body.Close()
	body, err := io.ReadAll(received.Body)
	got.status, got.header, got.body, got.err, got.done = received.StatusCode, received.Header, string(body), err, time.Now()
	return got
}

// configuration returns a version of the operator's configuration.
func configuration(version int, routes, services []map[string]any, keys ...string) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "api_keys": keys, "priority": 1}},
	}
}

func plainRoute(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 100,
		"priority": 2, "service": service, "max_attempts": attempts, "public": false,
	}
}

func streamRoute(name, prefix, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 25000, "target_latency_ms": 4500,
		"priority": 1, "service": service, "max_attempts": attempts, "public": false, "sticky": true, "stream_resume": true, "target_gap_ms": 700,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}
}

func modelService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kv_capacity": 55000, "kv_token_bytes": 327680, "link_mbps": 550000.0, "moves": false, "backups": false, "stride": 5,
			"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 4.0, "models": []map[string]any{{"name": "m"}},
		},
	}
}

// startEngines starts engines of a service, in three zones in turn, and registers them.
func (r *rig) startEngines(name string, count int, options engineOptions) []*engine {
	options.ledger = r.ledger
	var started []*engine
	for i := range count {
		options.zone = []string{"zone-a", "zone-b", "zone-c"}[i%3]
		e, err := startEngine(fmt.Sprintf("%s-%d", name, i+1), r.prefix+"100:0", options)
		if err != nil {
			panic(err)
		}
		started = append(started, e)
		r.engines = append(r.engines, e)
		if _, ok := r.store.put("servers", e.id, e.spec("ready", 0)); !ok {
			panic("the store is away")
		}
	}
	return started
}

// keepLogs copies the entries' logs to a folder that REVIEW_LOGS names, for people who look into a run.
func (r *rig) keepLogs() {
	to := os.Getenv("REVIEW_LOGS")
	for _, e := range r.entries {
		if text, err := os.ReadFile(e.log); err == nil && to != "" {
			_ = os.WriteFile(filepath.Join(to, e.name+".log"), text, 0o600)
		}
	}
}
