// Encoding and decoding of messages and stored records as MessagePack.

#ifndef CODEC_H_INCLUDED
#define CODEC_H_INCLUDED

#include "process/failure.h"

#include <msgpack.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace liftweir {

// Largest encoded message. A snapshot of the control state has to fit into one message.
constexpr std::size_t MaxMessageBytes = 64u << 20;

// Bounds on the memory and the recursion that a peer can make the decoder use.
constexpr std::size_t MaxDecodedItems = 1u << 20;
constexpr std::size_t MaxDecodeDepth = 24;

namespace codec_detail {

template <typename Variant, std::size_t I = 0>
bool convert_alternative(std::size_t index, const msgpack::object& body, Variant& out) {
    if constexpr (I < std::variant_size_v<Variant>) {
        if (index != I)
            return convert_alternative<Variant, I + 1>(index, body, out);
        std::variant_alternative_t<I, Variant> value;
        body.convert(value);
        out = std::move(value);
        return true;
    } else {
        return false;
    }
}

} // namespace codec_detail

// Encodes a variant as [index, fields]. New alternatives are only appended to a variant and new
// fields only to a struct, so that an older reader skips the ones that it does not know.
template <typename... Ts>
std::string encode(const std::variant<Ts...>& message) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(static_cast<unsigned>(message.index()));
    std::visit([&](const auto& value) { packer.pack(value); }, message);
    return std::string(buffer.data(), buffer.size());
}

template <typename T>
std::string encode_struct(const T& value) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return std::string(buffer.data(), buffer.size());
}

inline msgpack::unpack_limit decode_limits() {
    return msgpack::unpack_limit(MaxDecodedItems, MaxDecodedItems, MaxMessageBytes, MaxMessageBytes,
                                 MaxDecodedItems, MaxDecodeDepth);
}

// Fails with FailureKind::Decode if the bytes are not exactly one message of this type.
template <typename Variant>
Expected<Variant> decode(std::string_view bytes) {
    try {
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, decode_limits());
        const msgpack::object& top = handle.get();
        if (top.type != msgpack::type::ARRAY || top.via.array.size != 2)
            return fail(FailureKind::Decode, "message is not a pair");
        const auto index = top.via.array.ptr[0].as<unsigned>();
        Variant out;
        if (!codec_detail::convert_alternative(index, top.via.array.ptr[1], out))
            return fail(FailureKind::Decode, "unknown message kind " + std::to_string(index));
        return out;
    } catch (const std::exception& e) {
        return fail(FailureKind::Decode, e.what());
    }
}

template <typename T>
Expected<T> decode_struct(std::string_view bytes) {
    try {
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, decode_limits());
        return handle.get().as<T>();
    } catch (const std::exception& e) {
        return fail(FailureKind::Decode, e.what());
    }
}

} // namespace liftweir

#endif // CODEC_H_INCLUDED
