package host

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/database"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// Limits of buffered answers.
const (
	// streamThresholdBytes is how much of an answer is buffered before it is
	// checked and streamed to the caller.
	streamThresholdBytes = 256 << 10
)

// reply reads the answer to one plan from one database connection.
type reply struct {
	conn  *database.Conn
	steps []answerStep
	buf   []byte // encoded messages for the caller, without ReadyForQuery

	// check is called once before the first byte is sent to the caller; if it
	// returns an error, the answer is not sent. Nil means no check.
	check func() error
	// write sends encoded messages to the caller.
	write func([]byte) error
	// copyIn forwards the caller's COPY data to the database; nil refuses COPY.
	copyIn func(*database.Conn) error

	started      bool   // bytes were sent to the caller
	sqlState     string // SQLSTATE of the database's error, empty if there was none
	errorMessage string
	tag          string // last command tag
	status       byte   // transaction status at the end
}

// read reads messages until ReadyForQuery. The messages since the last flush stay in
// buf, so that its caller decides whether the end of the answer is sent.
func (r *reply) read() error {
	for {
		r.addSynthesized()
		msg, err := r.conn.Receive()
		if err != nil {
			return err
		}
		done, err := r.handleMessage(msg)
		if done || err != nil {
			return err
		}
		if len(r.buf) > streamThresholdBytes {
			if err := r.flush(); err != nil {
				return err
			}
		}
	}
}

func (r *reply) handleMessage(msg pgproto3.BackendMessage) (done bool, err error) {
	switch m := msg.(type) {
	case *pgproto3.ReadyForQuery:
		r.status = m.TxStatus
		return true, nil
	case *pgproto3.ParameterStatus:
		return false, nil
	case *pgproto3.ErrorResponse:
		r.sqlState = m.Code
		r.errorMessage = m.Message
		r.steps = nil
	case *pgproto3.CommandComplete:
		r.tag = string(m.CommandTag)
	case *pgproto3.CopyInResponse:
		return false, r.handleCopyIn(m)
	}
	if endsStep(msg) && r.finishStep() {
		return false, nil
	}
	r.buf, err = msg.Encode(r.buf)
	return false, err
}

// handleCopyIn forwards the database's request for COPY data to the caller, and
// the caller's data to the database.
func (r *reply) handleCopyIn(m *pgproto3.CopyInResponse) error {
	if r.copyIn == nil {
		return errkind.New(errkind.NotSupported, "COPY FROM STDIN in this context")
	}
	var err error
	if r.buf, err = m.Encode(r.buf); err != nil {
		return err
	}
	if err := r.flush(); err != nil {
		return err
	}
	return r.copyIn(r.conn)
}

// addSynthesized appends the answers of the leading steps that the proxy
// answers itself, so that they keep their place in the order of answers.
func (r *reply) addSynthesized() {
	for len(r.steps) > 0 && r.steps[0].kind == stepSynthesize {
		r.buf, _ = r.steps[0].answer.Encode(r.buf)
		r.steps = r.steps[1:]
	}
}

// finishStep removes the first step and reports whether its answer is
// discarded. If the step was a Parse, its statement is now prepared.
func (r *reply) finishStep() bool {
	if len(r.steps) == 0 {
		return false
	}
	st := r.steps[0]
	r.steps = r.steps[1:]
	switch st.kind {
	case stepDiscard:
		r.conn.MarkPrepared(st.name)
		return true
	case stepParse:
		r.conn.MarkPrepared(st.name)
	}
	return false
}

// flush sends the buffered messages to the caller. The first call runs the
// check.
func (r *reply) flush() error {
	if !r.started && r.check != nil {
		if err := r.check(); err != nil {
			return err
		}
	}
	r.started = true
	err := r.write(r.buf)
	r.buf = r.buf[:0]
	return err
}
