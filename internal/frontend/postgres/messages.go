package postgres

import (
	"encoding/binary"

	"gannetspur/internal/pgproto"
)

// clientMessageTypes are the message types that a client may send after its startup.
var clientMessageTypes = []byte{
	pgproto.MessageBind,
	pgproto.MessageClose,
	pgproto.MessageCopyData,
	pgproto.MessageCopyDone,
	pgproto.MessageCopyFail,
	pgproto.MessageDescribe,
	pgproto.MessageExecute,
	pgproto.MessageFlush,
	pgproto.MessageFunctionCall,
	pgproto.MessageParse,
	pgproto.MessagePassword,
	pgproto.MessageQuery,
	pgproto.MessageSync,
	pgproto.MessageTerminate,
}

// messageWriter buffers messages until they are written to the socket.
type messageWriter struct{ buffer []byte }

func (w *messageWriter) message(kind byte, body ...[]byte) {
	w.buffer = pgproto.AppendMessage(w.buffer, kind, body...)
}

// raw appends complete messages as received from an engine.
func (w *messageWriter) raw(messages []byte) { w.buffer = append(w.buffer, messages...) }

// encryptionAnswer appends the answer to an SSLRequest or a GSSENCRequest.
func (w *messageWriter) encryptionAnswer(answer byte) { w.buffer = append(w.buffer, answer) }

func (w *messageWriter) authenticationOK() {
	w.message(pgproto.MessageAuthentication, pgproto.Int32(pgproto.AuthOK))
}

// authenticationSASL offers a single SASL mechanism.
func (w *messageWriter) authenticationSASL(mechanism string) {
	endOfList := []byte{0}
	w.message(pgproto.MessageAuthentication, pgproto.Int32(pgproto.AuthSASL), pgproto.CString(mechanism), endOfList)
}

func (w *messageWriter) authenticationSASLContinue(data string) {
	w.message(pgproto.MessageAuthentication, pgproto.Int32(pgproto.AuthSASLContinue), []byte(data))
}

func (w *messageWriter) authenticationSASLFinal(data string) {
	w.message(pgproto.MessageAuthentication, pgproto.Int32(pgproto.AuthSASLFinal), []byte(data))
}

// negotiateProtocolVersion offers minor version 0 and lists the unknown protocol options of the startup
// packet.
func (w *messageWriter) negotiateProtocolVersion(unknownOptions []string) {
	minorVersion := pgproto.Int32(0)
	body := [][]byte{minorVersion, pgproto.Int32(len(unknownOptions))}
	for _, option := range unknownOptions {
		body = append(body, pgproto.CString(option))
	}
	w.message(pgproto.MessageNegotiateProtocolVersion, body...)
}

func (w *messageWriter) parameterStatus(name, value string) {
	w.message(pgproto.MessageParameterStatus, pgproto.CString(name), pgproto.CString(value))
}

func (w *messageWriter) backendKeyData(processID uint32, secretKey [4]byte) {
	w.message(pgproto.MessageBackendKeyData, binary.BigEndian.AppendUint32(nil, processID), secretKey[:])
}

func (w *messageWriter) readyForQuery(status byte) {
	w.message(pgproto.MessageReadyForQuery, []byte{status})
}

func (w *messageWriter) parseComplete() { w.message(pgproto.MessageParseComplete) }

func (w *messageWriter) bindComplete() { w.message(pgproto.MessageBindComplete) }

func (w *messageWriter) closeComplete() { w.message(pgproto.MessageCloseComplete) }

func (w *messageWriter) parameterDescription(body []byte) {
	w.message(pgproto.MessageParameterDescription, body)
}

// rowDescription appends a RowDescription, or NoData if fields is nil.
func (w *messageWriter) rowDescription(fields []byte) {
	if fields == nil {
		w.message(pgproto.MessageNoData)
		return
	}
	w.message(pgproto.MessageRowDescription, fields)
}

func (w *messageWriter) commandComplete(tag string) {
	w.message(pgproto.MessageCommandComplete, pgproto.CString(tag))
}

func (w *messageWriter) emptyQueryResponse() { w.message(pgproto.MessageEmptyQueryResponse) }

func (w *messageWriter) portalSuspended() { w.message(pgproto.MessagePortalSuspended) }

func (w *messageWriter) errorResponse(e *pgproto.Error) {
	w.message(pgproto.MessageErrorResponse, e.Body())
}

// warning appends a NoticeResponse of severity WARNING.
func (w *messageWriter) warning(code, text string) {
	notice := &pgproto.Error{Severity: severityWarning, Code: code, Message: text}
	w.message(pgproto.MessageNoticeResponse, notice.Body())
}
