package postgres

import (
	"encoding/binary"

	"gannetspur/internal/pgproto"
)

// Types of the messages that clients send after their startup.
const (
	msgBind         byte = 'B'
	msgClose        byte = 'C'
	msgCopyData     byte = 'd'
	msgCopyDone     byte = 'c'
	msgCopyFail     byte = 'f'
	msgDescribe     byte = 'D'
	msgExecute      byte = 'E'
	msgFlush        byte = 'H'
	msgFunctionCall byte = 'F'
	msgParse        byte = 'P'
	msgPassword     byte = 'p' // also SASLInitialResponse and SASLResponse
	msgQuery        byte = 'Q'
	msgSync         byte = 'S'
	msgTerminate    byte = 'X'
)

// Types of the messages that the frontend sends.
const (
	msgAuthentication       byte = 'R'
	msgBackendKeyData       byte = 'K'
	msgBindComplete         byte = '2'
	msgCloseComplete        byte = '3'
	msgCommandComplete      byte = 'C'
	msgEmptyQueryResponse   byte = 'I'
	msgErrorResponse        byte = 'E'
	msgNegotiateVersion     byte = 'v'
	msgNoData               byte = 'n'
	msgNoticeResponse       byte = 'N'
	msgParameterDescription byte = 't'
	msgParameterStatus      byte = 'S'
	msgParseComplete        byte = '1'
	msgPortalSuspended      byte = 's'
	msgReadyForQuery        byte = 'Z'
	msgRowDescription       byte = 'T'
)

// Answers to SSLRequest and GSSENCRequest: one byte, no message.
const (
	encryptionAccepted byte = 'S'
	encryptionDeclined byte = 'N'
)

// What Describe and Close name.
const (
	targetStatement byte = 'S'
	targetPortal    byte = 'P'
)

// Transaction status of ReadyForQuery.
const (
	statusIdle          byte = 'I'
	statusInTransaction byte = 'T'
	statusFailed        byte = 'E'
)

// clientMessageTypes are all types that a client may send after its startup.
var clientMessageTypes = []byte{
	msgBind, msgClose, msgCopyData, msgCopyDone, msgCopyFail, msgDescribe, msgExecute, msgFlush, msgFunctionCall,
	msgParse, msgPassword, msgQuery, msgSync, msgTerminate,
}

// messageWriter collects messages that are not yet written to the socket.
type messageWriter struct{ buffer []byte }

func (w *messageWriter) message(kind byte, body ...[]byte) {
	w.buffer = pgproto.AppendMessage(w.buffer, kind, body...)
}

// raw adds complete messages as an engine sent them.
func (w *messageWriter) raw(messages []byte) { w.buffer = append(w.buffer, messages...) }

// encryptionAnswer adds the answer to a request for encryption.
func (w *messageWriter) encryptionAnswer(answer byte) { w.buffer = append(w.buffer, answer) }

func (w *messageWriter) authenticationOK() {
	w.message(msgAuthentication, pgproto.Int32(pgproto.AuthOK))
}

// authenticationSASL offers one mechanism.
func (w *messageWriter) authenticationSASL(mechanism string) {
	endOfList := []byte{0}
	w.message(msgAuthentication, pgproto.Int32(pgproto.AuthSASL), pgproto.CString(mechanism), endOfList)
}

func (w *messageWriter) authenticationSASLContinue(data string) {
	w.message(msgAuthentication, pgproto.Int32(pgproto.AuthSASLContinue), []byte(data))
}

func (w *messageWriter) authenticationSASLFinal(data string) {
	w.message(msgAuthentication, pgproto.Int32(pgproto.AuthSASLFinal), []byte(data))
}

// negotiateProtocolVersion tells which options of the startup packet are not known.
func (w *messageWriter) negotiateProtocolVersion(unknownOptions []string) {
	minorVersion := pgproto.Int32(0)
	body := [][]byte{minorVersion, pgproto.Int32(len(unknownOptions))}
	for _, option := range unknownOptions {
		body = append(body, pgproto.CString(option))
	}
	w.message(msgNegotiateVersion, body...)
}

func (w *messageWriter) parameterStatus(name, value string) {
	w.message(msgParameterStatus, pgproto.CString(name), pgproto.CString(value))
}

func (w *messageWriter) backendKeyData(processID uint32, secretKey [4]byte) {
	w.message(msgBackendKeyData, binary.BigEndian.AppendUint32(nil, processID), secretKey[:])
}

func (w *messageWriter) readyForQuery(status byte) { w.message(msgReadyForQuery, []byte{status}) }

func (w *messageWriter) parseComplete() { w.message(msgParseComplete) }

func (w *messageWriter) bindComplete() { w.message(msgBindComplete) }

func (w *messageWriter) closeComplete() { w.message(msgCloseComplete) }

func (w *messageWriter) parameterDescription(body []byte) { w.message(msgParameterDescription, body) }

// rowDescription adds a RowDescription, or NoData where there are no fields.
func (w *messageWriter) rowDescription(fields []byte) {
	if fields == nil {
		w.message(msgNoData)
		return
	}
	w.message(msgRowDescription, fields)
}

func (w *messageWriter) commandComplete(tag string) {
	w.message(msgCommandComplete, pgproto.CString(tag))
}

func (w *messageWriter) emptyQueryResponse() { w.message(msgEmptyQueryResponse) }

func (w *messageWriter) portalSuspended() { w.message(msgPortalSuspended) }

func (w *messageWriter) errorResponse(e *pgproto.Error) { w.message(msgErrorResponse, e.Body()) }

// warning adds a NoticeResponse about something that is no error.
func (w *messageWriter) warning(code, text string) {
	notice := &pgproto.Error{Severity: "WARNING", Code: code, Message: text}
	w.message(msgNoticeResponse, notice.Body())
}
