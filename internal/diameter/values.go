package diameter

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
	"unicode/utf8"
)

// Type is an AVP's data format, RFC 6733 sections 4.2 and 4.3.
type Type string

const (
	OctetString Type = "OctetString"
	Integer32   Type = "Integer32"
	Integer64   Type = "Integer64"
	Unsigned32  Type = "Unsigned32"
	Unsigned64  Type = "Unsigned64"
	Float32     Type = "Float32"
	Float64     Type = "Float64"
	Grouped     Type = "Grouped"
	Address     Type = "Address"
	Time        Type = "Time"
	UTF8String  Type = "UTF8String"
	Identity    Type = "DiameterIdentity"
	URI         Type = "DiameterURI"
	Enumerated  Type = "Enumerated"
	IPFilter    Type = "IPFilterRule"
)

// fixedSizes holds the data length in bytes of each type; -1: variable.
var fixedSizes = map[Type]int{Integer32: 4, Integer64: 8, Unsigned32: 4, Unsigned64: 8, Float32: 4, Float64: 8, Time: 4, Enumerated: 4,
	OctetString: -1, Grouped: -1, Address: -1, UTF8String: -1, Identity: -1, URI: -1, IPFilter: -1}

// ntpToUnix is the number of seconds from the NTP epoch (1900) to the Unix epoch (1970). By RFC 6733 section
// 4.3.1 a Time whose high bit is set counts from 1900, otherwise from 2036.
const ntpToUnix = 2208988800

// Uint32 decodes an Unsigned32, Integer32 or Enumerated.
func (a *AVP) Uint32() (uint32, error) {
	if len(a.Data) != 4 {
		return 0, newError(InvalidAVPLength, a, "AVP %d: %d bytes where 4 are needed", a.Code, len(a.Data))
	}
	return binary.BigEndian.Uint32(a.Data), nil
}

// Uint64 decodes an Unsigned64 or Integer64.
func (a *AVP) Uint64() (uint64, error) {
	if len(a.Data) != 8 {
		return 0, newError(InvalidAVPLength, a, "AVP %d: %d bytes where 8 are needed", a.Code, len(a.Data))
	}
	return binary.BigEndian.Uint64(a.Data), nil
}

// Text decodes a UTF8String.
func (a *AVP) Text() (string, error) {
	if !utf8.Valid(a.Data) {
		return "", newError(InvalidAVPValue, a, "AVP %d is no UTF-8", a.Code)
	}
	return string(a.Data), nil
}

// Identity decodes a DiameterIdentity: a host or realm name of 1 to 255 ASCII letters, digits, hyphens,
// underscores and dots. The result is in lower case, since names are compared without regard to case.
func (a *AVP) Identity() (string, error) {
	if len(a.Data) == 0 || len(a.Data) > 255 {
		return "", newError(InvalidAVPValue, a, "AVP %d: a name of %d bytes", a.Code, len(a.Data))
	}
	for _, c := range a.Data {
		if !(c == '-' || c == '.' || c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z') {
			return "", newError(InvalidAVPValue, a, "AVP %d is no name: %.40q", a.Code, a.Data)
		}
	}
	return strings.ToLower(string(a.Data)), nil
}

// Addr decodes an Address: the IANA address family number, followed by the address.
func (a *AVP) Addr() (netip.Addr, error) {
	if len(a.Data) >= 2 {
		addr, ok := netip.AddrFromSlice(a.Data[2:])
		if family := binary.BigEndian.Uint16(a.Data); ok && (family == 1 && addr.Is4() || family == 2 && addr.Is6()) {
			return addr, nil
		}
	}
	return netip.Addr{}, newError(InvalidAVPValue, a, "AVP %d is no address", a.Code)
}

// Time decodes a Time.
func (a *AVP) Time() (time.Time, error) {
	n, err := a.Uint32()
	if err != nil {
		return time.Time{}, err
	}
	s := int64(n) - ntpToUnix
	if n&(1<<31) == 0 { // in the era that begins in 2036
		s += 1 << 32
	}
	return time.Unix(s, 0).UTC(), nil
}

// Constructors of MaxAVPs.

// avp returns an AVP without a vendor.
func avp(code uint32, flags uint8, data []byte) AVP { return AVP{Code: code, Flags: flags, Data: data} }

// U32 returns an AVP with an Unsigned32, Integer32 or Enumerated value and the M bit set, without a vendor.
func U32(code, v uint32) AVP { return avp(code, AVPMandatory, binary.BigEndian.AppendUint32(nil, v)) }

// U64 is like U32 for an Unsigned64 or Integer64 value.
func U64(code uint32, v uint64) AVP {
	return avp(code, AVPMandatory, binary.BigEndian.AppendUint64(nil, v))
}

// Str is like U32 for a string, an identity or bytes.
func Str(code uint32, v string) AVP { return avp(code, AVPMandatory, []byte(v)) }

// IP is like U32 for an Address value.
func IP(code uint32, v netip.Addr) AVP {
	family := uint16(1)
	if v = v.Unmap(); v.Is6() {
		family = 2
	}
	return avp(code, AVPMandatory, append(binary.BigEndian.AppendUint16(nil, family), v.AsSlice()...))
}

// Timestamp is like U32 for a Time value.
func Timestamp(code uint32, v time.Time) AVP { return U32(code, uint32(v.Unix()+ntpToUnix)) }

// Group is like U32 for a Grouped AVP with the given members.
func Group(code uint32, list ...AVP) AVP { return avp(code, AVPMandatory, AppendAVPs(nil, list)) }

// WithoutMandatory returns the AVP with the M bit cleared.
func WithoutMandatory(a AVP) AVP {
	a.Flags &^= AVPMandatory
	return a
}

// WithVendor returns the AVP with the V bit and a vendor set.
func WithVendor(vendor uint32, a AVP) AVP {
	a.Flags, a.Vendor = a.Flags|AVPVendor, vendor
	return a
}

// check returns an error if the data is invalid for a type.
func (a *AVP) check(t Type, limits Limits, depth int) error {
	if n := fixedSizes[t]; n > 0 && len(a.Data) != n {
		return newError(InvalidAVPLength, a, "AVP %d: %d bytes where %s needs %d", a.Code, len(a.Data), t, n)
	}
	var err error
	switch t {
	case UTF8String:
		_, err = a.Text()
	case Identity:
		_, err = a.Identity()
	case Address:
		// Addresses of families other than IPv4 and IPv6 are not validated.
		if len(a.Data) < 2 {
			err = newError(InvalidAVPLength, a, "AVP %d: %d bytes for an address", a.Code, len(a.Data))
		} else if f := binary.BigEndian.Uint16(a.Data); f == 1 || f == 2 {
			_, err = a.Addr()
		}
	case URI:
		if s := string(a.Data); !strings.HasPrefix(s, "aaa://") && !strings.HasPrefix(s, "aaas://") {
			err = newError(InvalidAVPValue, a, "AVP %d is no Diameter URI: %.40q", a.Code, s)
		}
	}
	return err
}

// value converts the data to a value for text and JSON output; data that is invalid for the type gives a hex
// string.
func (a *AVP) value(t Type) any {
	switch t {
	case Unsigned32, Enumerated:
		if v, err := a.Uint32(); err == nil {
			return v
		}
	case Integer32:
		if v, err := a.Uint32(); err == nil {
			return int32(v)
		}
	case Unsigned64:
		if v, err := a.Uint64(); err == nil {
			return v
		}
	case Integer64:
		if v, err := a.Uint64(); err == nil {
			return int64(v)
		}
	case Float32:
		if v, err := a.Uint32(); err == nil {
			return jsonFloat(float64(math.Float32frombits(v)))
		}
	case Float64:
		if v, err := a.Uint64(); err == nil {
			return jsonFloat(math.Float64frombits(v))
		}
	case Time:
		if v, err := a.Time(); err == nil {
			return v.Format(time.RFC3339)
		}
	case Address:
		if v, err := a.Addr(); err == nil {
			return v.String()
		}
	case UTF8String, Identity, URI, IPFilter:
		if utf8.Valid(a.Data) {
			return string(a.Data)
		}
	}
	return fmt.Sprintf("0x%x", a.Data)
}

// jsonFloat returns v, or its text if JSON has no representation for it (NaN and infinities).
func jsonFloat(v float64) any {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return fmt.Sprint(v)
	}
	return v
}
