package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"chestnutcleat.example/chestnutcleat/standin/store"
)

// host is the host name of all routes.
const host = "review.example"

// limits holds the memory of the two classes of machines and the disk of storage machines, in megabytes.
type limits struct{ entryMemory, storeMemory, storeDisk int }

// lundmarkRefill has the limits of the machines of the site lundmark-refill.
var lundmarkRefill = limits{284, 324, 490}

// restartDelay is the time after which the platform starts a process that has ended.
const restartDelay = 300 * time.Millisecond

// stableTime is the bound stable_ms.
const stableTime = 3 * time.Second

// vmProcess is the process of one machine.
type vmProcess struct {
	name, role, settings string
	// frontend, ready and registry are the addresses that an entry machine serves.
	frontend, ready, registry string
	// log is the file of the process's output, and disk the data folder of a storage machine.
	log, disk string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	// held is set while the machine has no power.
	held bool
	done chan struct{}
}

// fleet holds the processes and stand-ins of a run.
type fleet struct {
	dir      string
	subnet   string
	binary   string
	record   *recorder
	platform *store.Store
	address  string
	entries  []*vmProcess
	stores   []*vmProcess
	limits   limits
	closers  []func()
}

// newFleet starts the stand-in of the platform. The files of the processes are in a temporary folder.
func newFleet(binary string, l limits, r *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		dir: dir, binary: binary, limits: l, record: r, platform: store.New(),
		subnet: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)),
	}
	f.address, err = f.serve(f.subnet+".250", f.platform.Handler())
	return f, err
}

// serve serves a handler at a free port of a loopback address and returns the address.
func (f *fleet) serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// freePort returns a port that is free for TCP and UDP at an address.
func freePort(ip string) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", l.Addr().String())
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return port, nil
	}
	return 0, errors.New("no free port")
}

var zones = []string{"norra", "centrum", "sodra"}

// addVM starts the process of a machine with settings as the templates of the deploy file give them.
func (f *fleet) addVM(role string) (*vmProcess, error) {
	i := len(f.entries) + len(f.stores)
	ip := fmt.Sprintf("%s.%d", f.subnet, 11+i)
	var ports [5]int
	for n := range ports {
		var err error
		if ports[n], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, ports[n]) }
	count := len(f.entries)
	if role == "store" {
		count = len(f.stores)
	}
	zone := zones[count%len(zones)]
	p := &vmProcess{name: fmt.Sprintf("%s-%s-%d", role, zone, 1+count/len(zones)), role: role, done: make(chan struct{})}
	s := map[string]any{
		"vm": p.name, "role": role, "domain": zone, "region": "svealand", "ip": ip, "ports": []int{ports[0], ports[0]},
		"platform": f.address, "tolerance": 1, "memory": f.limits.entryMemory, "grace": 8, "hold": 5, "apply": 2000, "drain": 2000,
		"metrics": ports[4], "window": 5, "overage": 0.1,
	}
	if role == "entry" {
		p.frontend, p.ready, p.registry = at(1), at(2), at(3)
		s["listen"] = map[string]string{"callers": p.frontend, "ready": p.ready, "registry": p.registry}
		f.entries = append(f.entries, p)
	} else {
		disk := filepath.Join(f.dir, p.name+".disk")
		if err := os.Mkdir(disk, 0o700); err != nil {
			return nil, err
		}
		p.disk = disk
		s["folder"], s["space"], s["memory"] = disk, f.limits.storeDisk, f.limits.storeMemory
		f.stores = append(f.stores, p)
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	p.settings, p.log = filepath.Join(f.dir, p.name+".json"), filepath.Join(f.dir, p.name+".log")
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return nil, err
	}
	go p.run(f.binary, f.record)
	return p, nil
}

// run starts the process, and again whenever it ends, until stop is called.
func (p *vmProcess) run(binary string, r *recorder) {
	defer close(p.done)
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.note("%s: %v", p.name, err)
		return
	}
	defer func() { _ = log.Close() }()
	for {
		p.mu.Lock()
		if p.stopped {
			p.mu.Unlock()
			return
		}
		if p.held {
			p.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			continue
		}
		cmd := exec.Command(binary, p.role, "-settings", p.settings)
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			p.mu.Unlock()
			r.note("%s: %v", p.name, err)
			return
		}
		p.cmd = cmd
		p.mu.Unlock()
		r.note("%s starts", p.name)
		_ = cmd.Wait()
		p.mu.Lock()
		p.cmd = nil
		stopped := p.stopped
		p.mu.Unlock()
		if !stopped {
			r.note("%s ends: %s", p.name, cmd.ProcessState)
			time.Sleep(restartDelay)
		}
	}
}

// signal sends a signal to the process.
func (p *vmProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// hold keeps the process from being started again, as if its machine had no power, or ends that.
func (p *vmProcess) hold(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = on
}

// awaitEnd waits until the process does not run.
func (p *vmProcess) awaitEnd() {
	for {
		p.mu.Lock()
		ended := p.cmd == nil
		p.mu.Unlock()
		if ended {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// stop ends the process for good.
func (p *vmProcess) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// isReady asks an entry machine as the platform does.
func (p *vmProcess) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// start starts machines of both classes and waits until all entry machines are ready and settled.
func (f *fleet) start(entries, stores int) error {
	for i := range entries + stores {
		role := "entry"
		if i >= entries {
			role = "store"
		}
		if _, err := f.addVM(role); err != nil {
			return err
		}
	}
	for _, p := range f.entries {
		if err := f.awaitReady(p); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until an entry machine is ready.
func (f *fleet) awaitReady(p *vmProcess) error {
	for end := time.Now().Add(20 * time.Second); !p.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready", p.name)
		}
	}
	return nil
}

// close ends everything. The folder of the processes is removed, unless REVIEW_KEEP is set.
func (f *fleet) close() {
	var all sync.WaitGroup
	for _, p := range append(append([]*vmProcess{}, f.entries...), f.stores...) {
		all.Go(p.stop)
	}
	all.Wait()
	for _, c := range f.closers {
		c()
	}
	if os.Getenv("REVIEW_KEEP") != "" {
		f.record.note("logs stay in %s", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}
