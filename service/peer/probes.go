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
	maxDatagram = 16 << 10
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
	notes  map[string]NoteHandler
	wg     sync.WaitGroup
	sent   atomic.Int64
}

// NoteHandler takes a received note; params are the sender's, as JSON.
type NoteHandler func(params json.RawMessage)

// NewProbes listens at addr.
func NewProbes(addr netip.AddrPort, key string, handle ProbeHandler, log *slog.Logger) (p *Probes, err error) {
	defer func() { err = eris.Wrap(err, "probe socket") }()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return &Probes{conn: conn, key: []byte(key), log: log, handle: handle, notes: map[string]NoteHandler{}}, nil
}

// OnNote has fn called with each note of a method; it is called before Start.
func (p *Probes) OnNote(method string, fn NoteHandler) { p.notes[method] = fn }

// SendNote tells several nodes something in a datagram each, which may be lost: for
// news that the next note replaces. It returns the bytes sent.
func (p *Probes) SendNote(to []netip.AddrPort, method string, params any) (sent int, err error) {
	defer func() { err = eris.Wrapf(err, "note %s", method) }()
	body, err := p.seal(method, params)
	if err != nil {
		return 0, err
	}
	if len(body) > maxDatagram {
		return 0, eris.Errorf("%d bytes", len(body))
	}
	for _, addr := range to {
		if _, err := p.conn.WriteToUDPAddrPort(body, addr); err != nil {
			p.log.Debug("notification not sent", "to", addr, "err", err)
			continue
		}
		sent += len(body)
	}
	p.sent.Add(int64(sent))
	return sent, nil
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
		body, err := p.seal(methodProbe, packet.Probe)
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

// seal encodes a notification behind its code.
func (p *Probes) seal(method string, params any) ([]byte, error) {
	req := jsonrpc2.Request{Method: method, Notif: true}
	if err := req.SetParams(params); err != nil {
		return nil, err
	}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	return append(p.mac(body), body...), nil
}

func (p *Probes) open(datagram []byte) (req jsonrpc2.Request, err error) {
	if len(datagram) < macSize || !hmac.Equal(datagram[:macSize], p.mac(datagram[macSize:])) {
		return req, eris.New("wrong key")
	}
	if err := json.Unmarshal(datagram[macSize:], &req); err != nil {
		return req, err
	}
	if req.Params == nil {
		return req, eris.Errorf("method %q without parameters", req.Method)
	}
	return req, nil
}

// take hands a notification to whom it is for.
func (p *Probes) take(from netip.AddrPort, req jsonrpc2.Request) error {
	if fn, ok := p.notes[req.Method]; ok {
		fn(*req.Params)
		return nil
	}
	if req.Method != methodProbe {
		return eris.Errorf("unknown method %q", req.Method)
	}
	var probe control.Probe
	if err := json.Unmarshal(*req.Params, &probe); err != nil {
		return err
	}
	p.Send(p.handle(from, probe))
	return nil
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
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		req, err := p.open(buf[:n])
		if err == nil {
			err = p.take(from, req)
		}
		if err != nil {
			p.log.Debug("datagram dropped", "from", from, "err", err)
		}
	}
}
