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

// ProbeHandler handles a received probe and returns the packets to send in response.
type ProbeHandler func(from netip.AddrPort, p control.Probe) []control.Packet

// Probes sends and receives membership probes and notes: JSON-RPC notifications in UDP
// datagrams, which may be lost, each authenticated with an HMAC under the peer key.
type Probes struct {
	conn         *net.UDPConn
	key          []byte
	log          *slog.Logger
	handle       ProbeHandler
	noteHandlers map[string]NoteHandler
	wg           sync.WaitGroup
	sentBytes    atomic.Int64
}

// NoteHandler handles a received note; params are the sender's, as JSON.
type NoteHandler func(params json.RawMessage)

// NewProbes listens at addr.
func NewProbes(addr netip.AddrPort, key string, handle ProbeHandler, log *slog.Logger) (p *Probes, err error) {
	defer func() { err = eris.Wrap(err, "probe socket") }()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return &Probes{conn: conn, key: []byte(key), log: log, handle: handle, noteHandlers: map[string]NoteHandler{}}, nil
}

// OnNote sets the handler of a method's notes; it must be called before Start.
func (p *Probes) OnNote(method string, fn NoteHandler) { p.noteHandlers[method] = fn }

// SendNote sends a note to several nodes, in one datagram each. It is for data whose loss is
// harmless, for example because the next note supersedes it. It returns the number of bytes
// sent.
func (p *Probes) SendNote(to []netip.AddrPort, method string, params any) (sent int, err error) {
	defer func() { err = eris.Wrapf(err, "send notification %s", method) }()
	body, err := p.encode(method, params)
	if err != nil {
		return 0, err
	}
	if len(body) > maxDatagram {
		return 0, eris.Errorf("datagram of %d bytes exceeds the limit of %d", len(body), maxDatagram)
	}
	for _, addr := range to {
		if _, err := p.conn.WriteToUDPAddrPort(body, addr); err != nil {
			p.log.Debug("notification not sent", "to", addr, "err", err)
			continue
		}
		sent += len(body)
	}
	p.sentBytes.Add(int64(sent))
	return sent, nil
}

// Start receives until Close.
func (p *Probes) Start() { p.wg.Go(p.receive) }

// Close stops receiving and waits.
func (p *Probes) Close() {
	_ = p.conn.Close() // Receiving ends even if this fails.
	p.wg.Wait()
}

// SentBytes returns how many bytes were sent, without IP and UDP headers.
func (p *Probes) SentBytes() int64 { return p.sentBytes.Load() }

// Send sends packets; the membership protocol tolerates lost ones.
func (p *Probes) Send(packets []control.Packet) {
	for _, packet := range packets {
		body, err := p.encode(methodProbe, packet.Probe)
		if err != nil {
			p.log.Error("probe not encoded", "err", err)
			continue
		}
		if _, err := p.conn.WriteToUDPAddrPort(body, packet.To); err != nil {
			p.log.Debug("probe not sent", "to", packet.To, "err", err)
			continue
		}
		p.sentBytes.Add(int64(len(body)))
	}
}

// encode returns a notification's datagram: its HMAC and its JSON.
func (p *Probes) encode(method string, params any) ([]byte, error) {
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

// decode verifies a datagram's HMAC and decodes its notification.
func (p *Probes) decode(datagram []byte) (req jsonrpc2.Request, err error) {
	if len(datagram) < macSize || !hmac.Equal(datagram[:macSize], p.mac(datagram[macSize:])) {
		return req, eris.New("datagram is not authenticated by the peer key")
	}
	if err := json.Unmarshal(datagram[macSize:], &req); err != nil {
		return req, err
	}
	if req.Params == nil {
		return req, eris.Errorf("notification %q has no parameters", req.Method)
	}
	return req, nil
}

// dispatch calls the handler of a notification.
func (p *Probes) dispatch(from netip.AddrPort, req jsonrpc2.Request) error {
	if fn, ok := p.noteHandlers[req.Method]; ok {
		fn(*req.Params)
		return nil
	}
	if req.Method != methodProbe {
		return eris.Errorf("unknown notification %q", req.Method)
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
		req, err := p.decode(buf[:n])
		if err == nil {
			err = p.dispatch(from, req)
		}
		if err != nil {
			p.log.Debug("datagram dropped", "from", from, "err", err)
		}
	}
}
