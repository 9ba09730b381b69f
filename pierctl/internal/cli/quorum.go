package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/language"
	"github.com/dandelionpier/dandelionpier/pierctl/internal/client"
	"github.com/dandelionpier/dandelionpier/pierctl/internal/output"
)

func (p *program) addMember(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return fault.New("read command line", Usage, "quorum add takes the instance's name and its peer address")
	}
	request := language.MemberRequest{ID: c.Args().Get(0), Address: c.Args().Get(1)}
	return p.changeQuorum(ctx, c, func(ctx context.Context, sender *client.Client) (language.CommandReply, error) {
		return sender.AddMember(ctx, request)
	})
}

func (p *program) removeMember(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return fault.New("read command line", Usage, "quorum remove takes the instance's name")
	}
	return p.changeQuorum(ctx, c, func(ctx context.Context, sender *client.Client) (language.CommandReply, error) {
		return sender.RemoveMember(ctx, c.Args().First())
	})
}

// changeQuorum sends a membership change. If the reply is lost, the change is sent again and may then be
// rejected because it was made already; the query "show quorum" shows the current members.
func (p *program) changeQuorum(ctx context.Context, c *cli.Command, send func(context.Context, *client.Client) (language.CommandReply, error)) error {
	sender, s, err := p.newClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	reply, err := send(ctx, sender)
	if err != nil {
		return err
	}
	p.exitCode = exitCodeOfStatus(reply.Status)
	if s.Output != output.Table {
		return fault.Wrap(output.Result(p.out, s.Output, reply), "write result", Failed, "output")
	}
	_, err = fmt.Fprintln(p.out, reply.Status, reply.Message)
	return fault.Wrap(err, "write result", Failed, "output")
}
