package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// options are the command-line flags of a stand-in process.
type options struct {
	Kind   string `long:"kind" required:"true" choice:"engine" choice:"store" choice:"service" choice:"table" choice:"objects" choice:"vms"`
	Listen string `long:"listen" default:"127.0.0.1:0"`
	Config string `long:"config" default:"{}" description:"JSON of the engine's or store's sizes, over the defaults"`
}

// standIn is implemented by every kind of stand-in.
type standIn interface {
	Addr() netip.AddrPort
	Close()
}

// Main runs one stand-in until SIGTERM or SIGINT and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var o options
	if _, err := flags.ParseArgs(&o, args); err != nil {
		_, _ = fmt.Fprintln(errOut, err) // A failed write cannot be reported.
		return 2
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	s, err := start(o)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err) // A failed write cannot be reported.
		return 1
	}
	_, _ = fmt.Fprintln(out, s.Addr()) // A failed write cannot be reported.
	<-signals
	s.Close()
	return 0
}

func start(o options) (standIn, error) {
	addr, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return nil, err
	}
	switch o.Kind {
	case "engine":
		cfg := DefaultEngineConfig()
		if err := json.Unmarshal([]byte(o.Config), &cfg); err != nil {
			return nil, err
		}
		return StartEngine(addr, cfg)
	case "store":
		cfg := DefaultStoreConfig()
		if err := json.Unmarshal([]byte(o.Config), &cfg); err != nil {
			return nil, err
		}
		return StartStore(addr, cfg)
	case "service":
		return StartService(addr)
	case "objects":
		return StartObjects(addr)
	case "vms":
		return StartVMs(addr)
	default:
		return StartTable(addr)
	}
}
