package cmds

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/service/peer"
)

// remoteFlags select the node to call.
type remoteFlags struct {
	Node    string        `short:"n" long:"node" value-name:"ADDRESS" required:"true" description:"peer address of any node"`
	Token   string        `short:"t" long:"token" env:"DRUMPATH_TOKEN" description:"operators' token"`
	Timeout time.Duration `long:"timeout" default:"40s" description:"how long to wait for an answer"`
}

// call connects to the node as an operator and makes one call.
func (f remoteFlags) call(method string, params, result any) (err error) {
	defer func() { err = eris.Wrapf(err, "node %s", f.Node) }()
	addr, err := netip.ParseAddrPort(f.Node)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	conn, err := peer.Dial(ctx, addr, peer.Hello{Role: peer.RoleOperator, Secret: f.Token})
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	_ = conn.Close() // The call has ended.
	return err
}

// printJSON writes a value as indented JSON.
func (s stdio) printJSON(v any) error {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	s.printf("%s\n", body)
	return nil
}
