/// @file
/// @brief Changes of the document that come in slices, decoded slice by slice.
#pragma once

#include "buckthornrail/gateway/dialect.hpp"
#include "buckthornrail/gateway/route_index.hpp"

namespace buckthornrail::gateway {

/// A change of which all slices have come.
struct completed_change {
    std::shared_ptr<route_index> whole; ///< the document anew; empty: `change` follows from what is held
    decoded_change change;
};

/// @brief Gathers slices of one sender.
class document_assembly {
public:
    explicit document_assembly(const control_dialect& dialect)
        : m_dialect(dialect)
    {
    }

    /// @brief Decodes the next slice.
    /// @return MalformedMessage when it isn't the one that follows; InvalidDocument when an entry can't be read: the
    /// change is left out then
    tl::expected<void, failure> take(const document::change_slice& slice);
    /// @brief Changes that are whole, in the order in which they came, each once.
    [[nodiscard]] std::vector<completed_change> takeCompleted();
    /// @brief Forgets all that has come: nothing more will, or it comes anew.
    void drop();

private:
    tl::expected<void, failure> decode(const document::change& part);
    [[nodiscard]] bool follows(const document::change_slice& slice) const;

    const control_dialect& m_dialect;
    std::vector<completed_change> m_finished;
    completed_change m_open; ///< of which slices are missing
    std::uint32_t m_next = 0; ///< number of the slice to come
    bool m_isLeftOut = false; ///< an entry of the open change couldn't be read
};

} // namespace buckthornrail::gateway
