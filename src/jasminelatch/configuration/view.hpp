#ifndef JASMINELATCH_CONFIGURATION_VIEW_HPP
#define JASMINELATCH_CONFIGURATION_VIEW_HPP

#include "change_set.hpp"

#include <jasminelatch/record/records.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::configuration {

/*! @brief What a presented key is worth. */
enum class KeyState : std::uint8_t {
    Ok, /*!< Valid for its account. */
    Unknown, /*!< Malformed, never issued, or its secret is wrong. */
    Withdrawn /*!< Withdrawn, or its account is. */
};

/*! @brief Result of checking a presented key. */
struct KeyCheck {
    KeyState state{KeyState::Unknown}; /*!< What it is worth. */
    AccountName account; /*!< Account it stands for; empty unless `Ok`. */
};

/**
 * @brief All records in force at one revision; immutable.
 *
 * Records are shared between the views of successive revisions, so that a change costs only what it changes. A record
 * whose newest form can't be read keeps its last readable form in force.
 */
class View
{
public:
    /*! @brief Makes the empty view of revision zero. */
    View();

    /**
     * @brief Makes a view from a snapshot.
     * @param revision Revision of the snapshot.
     * @param parts All its parts.
     * @param previous View whose readable forms stay in force for records that can't be read; may be null.
     */
    View(Revision revision, std::span<const SnapshotPart> parts, const View *previous = nullptr);

    /**
     * @brief Returns the view after a change set.
     * @param change Change set of the next revision; the caller has checked that.
     * @return The view of that revision.
     */
    [[nodiscard]] auto after(const ChangeSet &change) const -> View;

    /*! @brief Returns the revision. */
    [[nodiscard]] auto revision() const noexcept -> Revision { return revision_; }

    /*! @brief Returns an account, or null when there is none of that name. Valid while the view lives. */
    [[nodiscard]] auto account(const AccountName &name) const -> const record::Account *;
    /*! @brief Returns every account in order of name. */
    [[nodiscard]] auto accounts() const noexcept -> std::span<const record::Account *const> { return accounts_; }
    /*! @brief Returns every request kind in order of name. */
    [[nodiscard]] auto kinds() const noexcept -> std::span<const record::Kind *const> { return kinds_; }
    /*! @brief Returns the limits of the fleet; defaults when there is no such record. */
    [[nodiscard]] auto fleet() const noexcept -> const record::Fleet & { return fleet_; }

    /**
     * @brief Finds the request kind of a route.
     * @param method HTTP method in upper case.
     * @param service Service asked for.
     * @param path Path below the service; a query is ignored.
     * @return The kind with the longest path that is a prefix of whole segments, or null. Valid while the view lives.
     */
    [[nodiscard]] auto findKind(std::string_view method, const ServiceName &service, std::string_view path) const
        -> const record::Kind *;

    /**
     * @brief Checks a presented key.
     * @param presentedKey The key as it came.
     * @return What it is worth, and its account.
     */
    [[nodiscard]] auto authenticate(std::string_view presentedKey) const -> KeyCheck;

    /*! @brief Tells whether a key of this id has been withdrawn and is still remembered. */
    [[nodiscard]] auto isWithdrawn(std::string_view keyId) const -> bool;

    /*! @brief Returns the newest form of every record. */
    [[nodiscard]] auto documents() const -> std::vector<record::Document>;
    /*! @brief Returns the newest form of one record, or null. Valid while the view lives. */
    [[nodiscard]] auto document(const record::Id &id) const -> const record::Document *;
    /*! @brief Returns the withdrawn keys that are remembered. */
    [[nodiscard]] auto withdrawnKeys() const -> std::vector<WithdrawnKey>;
    /*! @brief Returns the records whose newest form can't be read. */
    [[nodiscard]] auto unreadable() const -> std::vector<record::Id>;

    /**
     * @brief Cuts the view into the parts of a snapshot.
     * @param bytes Largest size of a part in bytes of its records; one record may exceed it.
     * @return The parts, at least one.
     */
    [[nodiscard]] auto snapshot(std::size_t bytes) const -> std::vector<SnapshotPart>;

private:
    struct Stored {
        record::Document newest;
        std::shared_ptr<const record::Body> readable; // Null when no form could be read.
        bool newestIsReadable{};
    };
    using Records = std::map<record::Id, std::shared_ptr<const Stored>>;
    using Routes = std::map<std::string, std::vector<const record::Kind *>, std::less<>>;

    static auto store(const record::Document &document, const Records &previous) -> std::shared_ptr<const Stored>;
    auto withdraw(const record::Id &id) -> void;
    auto rememberWithdrawn(const WithdrawnKey &key) -> void;
    auto index() -> void;
    auto indexBody(const record::Body &body) -> void;

    Revision revision_{};
    Records records_;
    std::map<std::string, Revision, std::less<>> withdrawn_;
    std::set<std::pair<Revision, std::string>> withdrawnByAge_;

    std::map<std::string, const record::Account *, std::less<>> accountsByName_;
    std::vector<const record::Account *> accounts_;
    std::vector<const record::Kind *> kinds_;
    std::map<std::string, const record::Key *, std::less<>> keys_;
    std::map<std::string, Routes, std::less<>> routes_;
    record::Fleet fleet_;
};

} // namespace jasminelatch::configuration

#endif
