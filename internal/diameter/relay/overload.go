package relay

import (
	"encoding/binary"

	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/overload"
)

const (
	lossAlgorithm = 1 // OLR_DEFAULT_ALGO in OC-Feature-Vector
	realmReport   = 1 // OC-Report-Type REALM_REPORT: applies to requests for any server of the realm
)

// AcceptsOverloadReports reports whether the sender of a request supports overload reports with the loss
// algorithm. OC-Supported-Features without OC-Feature-Vector means that algorithm (RFC 7683, 7.2).
func AcceptsOverloadReports(m *diameter.Message) bool {
	a := diameter.Find(m.AVPs, diameter.CodeOCSupportedFeatures, 0)
	if a == nil {
		return false
	}
	list, err := a.Group(diameter.DefaultLimits(), 0)
	if err != nil {
		return false
	}
	v := diameter.Find(list, diameter.CodeOCFeatureVector, 0)
	if v == nil {
		return true
	}
	bits, err := v.Uint64()
	return err == nil && bits&lossAlgorithm != 0
}

// withoutMandatoryBits clears the M bit of the AVPs and returns them. A receiver that doesn't know them then ignores them
// (RFC 7683, 7.8).
func withoutMandatoryBits(list ...diameter.AVP) []diameter.AVP {
	for i := range list {
		list[i] = diameter.WithoutMandatory(list[i])
	}
	return list
}

// AppendReport returns a copy of an encoded answer with a report added, for a client that accepts reports. An
// answer with OC-Supported-Features is returned as it is: its server reports its own overload.
func AppendReport(answer []byte, r overload.Report) []byte {
	limits := diameter.DefaultLimits()
	m, err := diameter.Decode(answer, limits)
	if err != nil || diameter.Find(m.AVPs, diameter.CodeOCSupportedFeatures, 0) != nil {
		return answer
	}
	more := diameter.AppendAVPs(nil, withoutMandatoryBits(
		diameter.Group(diameter.CodeOCSupportedFeatures, withoutMandatoryBits(diameter.U64(diameter.CodeOCFeatureVector, lossAlgorithm))...),
		diameter.Group(diameter.CodeOCOLR, withoutMandatoryBits(diameter.U64(diameter.CodeOCSequenceNumber, r.Sequence), diameter.U32(diameter.CodeOCReportType, realmReport),
			diameter.U32(diameter.CodeOCReduction, r.Reduction), diameter.U32(diameter.CodeOCValidityDuration, r.Validity))...)))
	if len(answer)+len(more) > limits.MaxMessageBytes {
		return answer // the client would reject it as too long
	}
	out := append(append(make([]byte, 0, len(answer)+len(more)), answer...), more...)
	binary.BigEndian.PutUint32(out, binary.BigEndian.Uint32(out)&0xff000000|uint32(len(out)))
	return out
}
