package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/drumpath/drumpath/pkg/control"
)

const (
	maxDatagram = 8 << 10
	macSize     = 16
)

// ProbeHandler takes a received probe and returns the answers.
type ProbeHandler func(from netip.AddrPort, p control.Probe) []control.Packet

// Probes sends and receives membership probes: JSON-RPC notifications in UDP
// datagrams, each with a code made with the peers' key.
type Probes struct {
	conn   *net.UDPConn
	key    []byte
	log    *slog.Logger
	handle ProbeHandler
	wg     sync.WaitGroup
	sent   atomic.Int64
}

// NewProbes listens at addr.
func NewProbes(addr netip.AddrPort, key string, handle ProbeHandler, log *slog.Logger) (p *Probes, err error) {
	defer func() { err = eris.Wrap(err, "probe socket") }()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return &Probes{conn: conn, key: []byte(key), log: log, handle: handle}, nil
}

// Start receives until Close.
func (p *Probes) Start() { p.wg.Go(p.receive) }

// Close stops receiving and waits.
func (p *Probes) Close() {
	_ = p.conn.Close() // Receiving ends all the same.
	p.wg.Wait()
}

// SentBytes is how many bytes were sent, without IP and UDP headers.
func (p *Probes) SentBytes() int64 { return p.sent.Load() }

// Send sends packets; a lost one is made up by the protocol.
func (p *Probes) Send(packets []control.Packet) {
	for _, packet := range packets {
		body, err := p.encode(packet.Probe)
		if err != nil {
			p.log.Error("probe not encoded", "err", err)
			continue
		}
		if _, err := p.conn.WriteToUDPAddrPort(body, packet.To); err != nil {
			p.log.Debug("probe not sent", "to", packet.To, "err", err)
			continue
		}
		p.sent.Add(int64(len(body)))
	}
}

func (p *Probes) encode(probe control.Probe) ([]byte, error) {
	req := jsonrpc2.Request{Method: methodProbe, Notif: true}
	if err := req.SetParams(probe); err != nil {
		return nil, err
	}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	return append(p.mac(body), body...), nil
}

func (p *Probes) decode(datagram []byte) (probe control.Probe, err error) {
	if len(datagram) < macSize || !hmac.Equal(datagram[:macSize], p.mac(datagram[macSize:])) {
		return probe, eris.New("wrong key")
	}
	var req jsonrpc2.Request
	if err := json.Unmarshal(datagram[macSize:], &req); err != nil {
		return probe, err
	}
	if req.Method != methodProbe || req.Params == nil {
		return probe, eris.Errorf("unknown method %q", req.Method)
	}
	err = json.Unmarshal(*req.Params, &probe)
	return probe, err
}

func (p *Probes) mac(body []byte) []byte {
	h := hmac.New(sha256.New, p.key)
	h.Write(body)
	return h.Sum(nil)[:macSize]
}

func (p *Probes) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.log.Debug("probe not received", "err", err)
			continue
		}
		probe, err := p.decode(buf[:n])
		if err != nil {
			p.log.Debug("probe dropped", "from", from, "err", err)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		p.Send(p.handle(from, probe))
	}
}
