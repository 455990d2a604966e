package main_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/kumquatswitch/kumquatswitch/internal/entry/kqclient"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqcrowd"
)

var crowdEnabled = flag.Bool("crowd", false, "run the tests with clients that do not behave; false skips them")

// The settings of the process that a crowd meets, and the crowds. The bodies of a crowd exceed the memory, or its
// connections the descriptors.
const (
	crowdMemoryMB       = 128
	crowdDescriptors    = 1500
	fewCrowdDescriptors = 700
	crowdClients        = 800
	manyStepsClients    = 200
	callClients         = 40
	callBytes           = 8 << 20
	rpcClients          = 200
	rpcBytes            = 1 << 20
	flowBytes           = 256 << 10
	http2Streams        = 15
	http2StreamBytes    = 64 << 10

	crowdStoreAddress = "127.78.0.1:17100"
	crowdIP           = "127.78.0.2"
	crowdAddress      = crowdIP + ":17000"
	crowdClass        = "class: lockdesk\nkind: latency_critical\nlatency: 250ms\npercentile: 99\nif_version: 0\n"
	announcePath      = "/kumquatswitch.v1.EntryService/Announce"
	heartbeatPath     = "/kumquatswitch.v1.AgentService/Heartbeat"
)

// crowdCase is a crowd at one kind of process.
type crowdCase struct {
	name        string
	arguments   []string
	descriptors int
	clients     int
	crowd       kqcrowd.Config
	// ordinary is the path of an ordinary request.
	ordinary string
}

func crowdCases() []crowdCase {
	entry := []string{"entry", "--id", "crowd-1", "--zone", "z", "--listen", crowdAddress, "--table", crowdStoreAddress}
	agent := []string{"agent", "--id", "crowd-1", "--zone", "z", "--rack", "r", "--listen", crowdAddress, "--table", crowdStoreAddress, "--runtime", crowdStoreAddress}
	flows := []string{"flow", "demo", "--workers", "1", "--listen", crowdAddress, "--hold", "1h"}
	post := func(path string, s kqcrowd.Shape, size int) kqcrowd.Config {
		return s.Config(func(int) string { return path }, "Host: a.example\r\nContent-Type: application/json\r\n", kqcrowd.Padded("{}", size))
	}
	declared, chunked := kqcrowd.Shape{}, kqcrowd.Shape{Chunk: 64 << 10}
	return []crowdCase{
		{"calls to an entry, declared length, short of the end", entry, crowdDescriptors, callClients, post("/v1/call/lockdesk/x", declared, callBytes), "/v1/jobs"},
		{"calls to an entry, large chunks, short of the end", entry, crowdDescriptors, callClients, post("/v1/call/lockdesk/x", chunked, callBytes), "/v1/jobs"},
		{"announcements to an entry, short of the end", entry, crowdDescriptors, rpcClients, post(announcePath, declared, rpcBytes), "/v1/jobs"},
		{"HTTP/2 streams to an entry, short of the end", entry, crowdDescriptors, crowdClients, kqcrowd.Config{Body: kqcrowd.HTTP2Streams("/v1/call/lockdesk/%d", "a.example", http2Streams, http2StreamBytes)}, "/v1/jobs"},
		{"connections without a request to an entry", entry, fewCrowdDescriptors, crowdClients, kqcrowd.Config{}, "/v1/jobs"},
		{"heartbeats to an agent, short of the end", agent, crowdDescriptors, rpcClients, post(heartbeatPath, declared, rpcBytes), "/healthz"},
		{"connections without a request to an agent", agent, fewCrowdDescriptors, crowdClients, kqcrowd.Config{}, "/healthz"},
		{"flows, declared length, short of the end", flows, crowdDescriptors, crowdClients, post("/v1/flows", declared, flowBytes), "/v1/queues"},
		{"flows, large chunks, finished", flows, crowdDescriptors, crowdClients, post("/v1/flows", kqcrowd.Shape{Chunk: 64 << 10, Finish: true}, flowBytes), "/v1/queues"},
		{"flows of many small steps, finished", flows, crowdDescriptors, manyStepsClients, kqcrowd.Shape{Finish: true}.Config(func(int) string { return "/v1/flows" }, "Host: a.example\r\n",
			[]byte(`{"id":"f","queue":"q","steps":[`+strings.Repeat("{},", flowBytes/3-20)+"{}]}")), "/v1/queues"},
		{"connections without a request to the flows", flows, fewCrowdDescriptors, crowdClients, kqcrowd.Config{}, "/v1/queues"},
	}
}

// The same as TestCrowd of the package platform, for the product's own processes.
func TestCrowd(t *testing.T) {
	if !*crowdEnabled {
		t.Skip("run with -crowd")
	}
	binary := filepath.Join(t.TempDir(), "kumquatswitch")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	store := exec.Command(binary, "standin", "--part", "store", "--listen", crowdStoreAddress)
	if err := store.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Process.Kill(); _ = store.Wait() })
	client := kqclient.Client{EntryAddress: netip.MustParseAddrPort(crowdAddress)}
	for _, c := range crowdCases() {
		t.Run(c.name, func(t *testing.T) {
			configured := c.arguments[0] != "entry"
			c.crowd.Address, c.crowd.Clients = client.EntryAddress, c.clients
			r, err := kqcrowd.Trial{Binary: binary, Arguments: c.arguments, Environment: []string{fmt.Sprintf("KUMQUATSWITCH_MEMORY_MEGABYTES=%d", crowdMemoryMB)},
				Log: filepath.Join(t.TempDir(), "log"), Address: client.EntryAddress.Addr(), MemoryBytes: crowdMemoryMB << 20, Descriptors: c.descriptors, Crowd: c.crowd,
				Ordinary: func() int {
					if !configured {
						configured = client.Apply(context.Background(), crowdClass) == nil
					}
					return kqcrowd.Request(http.MethodGet, "http://"+crowdAddress+c.ordinary, "", "")
				}}.Run()
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v", r)
			for _, f := range r.Failures {
				t.Error(f)
			}
		})
	}
}
